"""The core: the one thread that owns the engine, the membership and every write. All else hands it events.

Events wait in one bounded queue. Each turn takes all of them, lets the pure parts work once, and writes what
they order without ever waiting for a socket.
"""

from __future__ import annotations

import queue
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.engine import Engine, Write
from rainpick.director.listing import ListCache
from rainpick.director.membership import Filed, Membership, RefusedMemberError
from rainpick.director.proxies import Proxies
from rainpick.director.reports import FRESH, Evidence, Freshness
from rainpick.director.status import status, table_deed
from rainpick.director.subscribers import Subscribers
from rainpick.director.tables import Line
from rainpick.mqtt.session import PacketReader
from rainpick.net import Ended
from rainpick.net.streams import Stream
from rainpick.otlp.metrics import Batch
from rainpick.publish.pins import PinError, Pins
from rainpick.record.digest import decisions_digest
from rainpick.record.recorder import Recorder
from rainpick.record.steps import Incarnation
from rainpick.sasp import codec
from rainpick.sasp.codec import Deregistration, GetWeights, Group, Registration, SetLbState, SetMemberState
from rainpick.sasp.session import Asked, Refused, reply
from rainpick.settings import Settings

PROOF_US = 5_000  # how often undelivered messages are looked at again
WATCH_US = 250_000  # how often slow peers are looked for
ENCODED_MOST = 256
IDLE_US = 1_000_000


def clock_us() -> int:
    return time.monotonic_ns() // 1000


class Served:
    """A stream's proxy: who it is and how far it has shown that it reads."""

    def __init__(self, uid: str, group: str, number: int, stream: Stream, flags: int):
        self.uid, self.number, self.stream, self.flags = uid, number, stream, flags
        self.group = codec.write_group(Group(uid, group))
        self.registered = self.joined = False  # its group is; the decisions know of it
        self.standing: frozenset = frozenset()
        self.message = 0  # ids of pushed messages
        self.asked_us: deque[int] = deque(maxlen=4)
        self.unproven_us: int | None = None  # the first push that it has not shown to have read
        self.answered = False  # a reply was written since that push
        self.blocked_us: int | None = None
        self.resumes = None  # the version of a table that it has shown to hold

    @property
    def pushes(self) -> bool:
        return bool(self.flags & codec.PUSH)


class Core:
    """Turns what comes from sockets into events of the pure parts, and their orders into bytes."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        module: Callable[[], Director] = Director,
        clock: Callable[[], int] = clock_us,
    ):
        self.settings, self.seed, self.module, self.clock = settings, seed, module, clock
        self.log = structlog.get_logger(director=settings.director.number)
        now = clock()
        self.born_us = now
        self.inbox: queue.Queue = queue.Queue(settings.director.inbox)
        self.membership = Membership(settings, now)
        self.proxies = Proxies(settings)
        self.evidence = Evidence(
            Freshness(settings.otlp.late_after, settings.otlp.skew_most, settings.otlp.streams_most),
            [route.name for route in settings.routes],
            settings.proxies.report_every,
            settings.proxies.hears_per_s,
        )
        self.engine: Engine | None = None
        self.streams: dict[int, Stream] = {}
        self.unknown: dict[int, int] = {}  # streams that have not said what they are: until when they may
        self.served: dict[int, Served] = {}  # by stream
        self.by_uid: dict[str, Served] = {}
        self.by_number: dict[int, Served] = {}
        self.undelivered: set[int] = set()
        self.stalled: set[int] = set()
        self.members: dict[codec.Member | tuple, bytes] = {}
        self.encoded: OrderedDict[int, tuple] = OrderedDict()
        cache = settings.director.list_cache
        self.cache = ListCache(cache, settings) if cache else None
        self.subscribers = Subscribers(self)
        self.pins: Pins | None = None
        self.recorder: Recorder | None = None
        self.watch_us = now
        self.stopping = False
        self.failure: BaseException | None = None
        self.waits = {"count": 0, "sum_us": 0, "most_us": 0}
        self.counts = dict.fromkeys(("refused", "ended", "let_go", "replaced", "reports"), 0)
        self.on_failure: Callable[[], None] = lambda: None
        self.thread = threading.Thread(target=self.run, name="core", daemon=True)

    # For other threads

    def put(self, name: str, *words: Any, wait: bool = True) -> bool:
        """Hand the core an event; False if its queue is full and the caller does not wait."""
        try:
            self.inbox.put((name, self.clock(), words), block=wait)
        except queue.Full:
            return False
        return True

    def ask(self, name: str, *words: Any, timeout_s: float = 2.0, wait: bool = False) -> Any:
        """Have the core answer; None if it is too busy."""
        box: queue.SimpleQueue = queue.SimpleQueue()
        if not self.put(name, *words, box, wait=wait):
            return None
        try:
            return box.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def report(self, batch: Batch) -> dict[str, int] | None:
        return self.ask("points", batch, time.time_ns())

    # The loop

    def run(self) -> None:
        try:
            while not self.stopping:
                self.turn(self.wait_s())
        except BaseException as flaw:
            self.failure = flaw
            self.log.exception("the core failed")
            self.on_failure()
        finally:
            for stream in list(self.streams.values()):
                stream.close()
            if self.cache is not None:
                self.cache.close()
            if self.recorder is not None:
                self.recorder.close()

    def wait_s(self) -> float:
        now = self.clock()
        times = [self.watch_us, now + IDLE_US]
        if self.undelivered or self.stalled:
            times.append(now + PROOF_US)
        if self.engine is None:
            begin_us = self.membership.begin_us()
            times += [begin_us] if begin_us is not None else []
        else:
            wanted = self.engine.due_us(), self.evidence.due_us(now)
            times += [moment for moment in wanted if moment is not None]
        if (gone_us := self.membership.due_us()) is not None:
            times.append(gone_us)
        return max(0.0, (min(times) - now) / 1e6)

    def turn(self, wait_s: float) -> None:
        """Take all that waits, work once, write."""
        try:
            item = self.inbox.get(timeout=wait_s) if wait_s else self.inbox.get_nowait()
        except queue.Empty:
            item = None
        now = self.clock()
        while item is not None:
            name, put_us, words = item
            waited_us = self.clock() - put_us
            self.waits["count"] += 1
            self.waits["sum_us"] += waited_us
            self.waits["most_us"] = max(self.waits["most_us"], waited_us)
            getattr(self, "on_" + name)(*words)
            try:
                item = self.inbox.get_nowait()
            except queue.Empty:
                item = None
        now = self.clock()
        for key in self.membership.expire(now):
            self.log.info("server gone", server="%s:%d" % key, why="its stream broke, the grace passed")
        self.follow_list(now)
        if self.engine is not None:
            self.engine.met(self.evidence.tell(now))
            for write in self.engine.advance(now):
                self.push(write, now)
        self.subscribers.flush()
        for number in [*self.stalled]:
            self.pump(number, now)
        for number in [*self.undelivered]:
            self.prove(number)
        if now >= self.watch_us:
            self.watch_us = now + WATCH_US
            self.watch(now)

    def follow_list(self, now: int) -> None:
        """Hand on what changed in the list; start the decisions when there is a list to start with."""
        if self.engine is None:
            begin_us = self.membership.begin_us()
            if begin_us is None or now < begin_us:
                return
            self.engine = Engine(self.settings, self.seed, now, self.module)
            if self.settings.record.folder is not None:
                self.record(now)
            tables = self.engine.tables
            self.pins = Pins(self.is_listed, tables.withdrawn.__contains__, self.is_warm)
            tables.overlay = self.pins.overlay
            start = self.membership.start()
            self.engine.list_changed(start)
            self.log.info("decisions begin", servers=len(start.endpoints), proxies=len(self.by_uid))
            for served in list(self.served.values()):
                if served.registered:
                    self.join(served)
            self.keep_list(now)
            return
        update = self.membership.changes()
        if update is not None:
            names = {
                model.EndpointState.GONE: "gone",
                model.EndpointState.READY: "ready",
                model.EndpointState.DRAINING: "draining",
            }
            for entry in update.endpoints[:20]:
                self.log.info("list", server="%s:%d" % entry.address, state=names[entry.state])
            self.engine.list_changed(update)
            self.keep_list(now)

    def record(self, now: int) -> None:
        """Keep what the decisions are told and order, from the first step on."""
        words = self.settings.record
        life = Incarnation(
            self.settings.director.number,
            self.subscribers.epoch,
            decisions_digest(),
            time.time_ns() // 1000,
            now,
            self.settings.model_dump(mode="json"),
        )
        self.recorder = Recorder(
            Path(words.folder), life, words.segment_most, words.keep_most, words.keep, words.sync
        )
        self.engine.stepper.watch = self.recorder.step

    def is_listed(self, server: tuple) -> bool:
        entry = self.engine.listed.get(server)
        return entry is not None and entry.state != model.EndpointState.GONE

    def is_warm(self, server: tuple) -> bool:
        started_us = self.engine.listed[server].started_us
        return not started_us or self.clock() - started_us >= self.settings.rules.warm_after

    def keep_list(self, now: int) -> None:
        if self.cache is not None:
            self.cache.keep(self.membership.whole(), now, time.time_ns() // 1000)

    # Streams

    def on_opened(self, stream: Stream) -> None:
        if len(self.streams) >= self.settings.sasp.streams_most:
            self.counts["refused"] += 1
            self.log.warning("stream refused", peer=stream.peer, why="too many are open")
            stream.close()
            return
        self.streams[stream.number] = stream
        if isinstance(stream.end, PacketReader):
            self.subscribers.opened(stream)
        self.unknown[stream.number] = self.clock() + self.settings.sasp.hello
        stream.start()

    def on_came(self, stream: Stream, found: Asked | Refused | Ended) -> None:
        if self.streams.get(stream.number) is not stream:
            return  # it was let go; what it still said comes too late
        if stream.number in self.subscribers.links:
            self.unknown.pop(stream.number, None)
            self.subscribers.came(stream, found)
        elif isinstance(found, Asked):
            self.unknown.pop(stream.number, None)
            self.serve(stream, found)
        elif isinstance(found, Refused):
            self.counts["refused"] += 1
            self.log.warning("refused", peer=stream.peer, why=found.why, code=found.code)
            stream.write(found.data)
        else:
            if found.data:
                stream.write(found.data)
            self.end(stream, found.why)

    def end(self, stream: Stream, why: str) -> None:
        """A stream is over, whoever ended it."""
        if self.streams.pop(stream.number, None) is None:
            return
        self.unknown.pop(stream.number, None)
        self.undelivered.discard(stream.number)
        self.stalled.discard(stream.number)
        stream.close()
        now = self.clock()
        self.subscribers.links.pop(stream.number, None)
        served = self.served.pop(stream.number, None)
        if served is not None:
            self.part(served)
            self.log.info("proxy left", proxy=served.uid, why=why)
        elif getattr(stream.end, "is_member", False):
            self.membership.stream_broke(stream.number, now)
            self.log.info("member stream ended", peer=stream.peer, why=why)
        else:
            self.counts["ended"] += 1
            self.log.info("stream ended", peer=stream.peer, why=why)

    def part(self, served: Served) -> None:
        if self.by_uid.get(served.uid) is served:
            del self.by_uid[served.uid], self.by_number[served.number]
            if served.joined and self.engine is not None:
                self.engine.left(served.number)
            self.evidence.forget(served.number)
            self.proxies.free(served.uid)

    def serve(self, stream: Stream, asked: Asked) -> None:
        """Carry out a request and answer it."""
        message = asked.message
        served = self.served.get(stream.number)
        if served is not None:
            self.shows_reading(served)
        try:
            if isinstance(message, SetLbState):
                code = self.set_lb_state(stream, message)
                stream.write(reply(codec.SET_LB_STATE, asked.number, code))
            elif isinstance(message, GetWeights):
                self.get_weights(served, asked.number, message)
            elif message.from_lb:
                code = self.lb_groups(served, message)
                which = codec.REGISTRATION if isinstance(message, Registration) else codec.DEREGISTRATION
                stream.write(reply(which, asked.number, code))
                if code == codec.SUCCESS and isinstance(message, Registration) and self.engine is not None:
                    self.join(served)
            else:
                which = self.member_says(stream, message)
                stream.write(reply(which, asked.number, codec.SUCCESS))
        except RefusedMemberError as flaw:
            which = next(
                number
                for build, number in (
                    (Registration, codec.REGISTRATION),
                    (Deregistration, codec.DEREGISTRATION),
                    (SetMemberState, codec.SET_MEMBER_STATE),
                )
                if isinstance(message, build)
            )
            self.counts["refused"] += 1
            self.log.warning("refused", peer=stream.peer, why=str(flaw), code=flaw.code)
            stream.write(reply(which, asked.number, flaw.code))
        if served is not None:
            served.answered = True

    def member_says(self, stream: Stream, message) -> int:
        now = self.clock()
        for group in message.groups:
            if isinstance(message, Registration):
                self.membership.register(stream.number, group.group, group.members, now)
            elif isinstance(message, Deregistration):
                self.membership.deregister(stream.number, group.group, group.members, now)
            else:
                self.membership.set_state(stream.number, group.group, group.states)
        return {
            Registration: codec.REGISTRATION,
            Deregistration: codec.DEREGISTRATION,
            SetMemberState: codec.SET_MEMBER_STATE,
        }[type(message)]

    # Proxies

    def set_lb_state(self, stream: Stream, message: SetLbState) -> int:
        if not message.flags & codec.TRUST:
            self.log.warning(
                "refused",
                peer=stream.peer,
                proxy=message.uid,
                why="without the trust flag no server that registered itself may be named to it",
            )
            return codec.NOT_ACCEPTED
        if message.uid == self.settings.fleet.uid:
            return codec.NOT_ACCEPTED
        served = self.served.get(stream.number) or self.serve_proxy(stream, message.uid, message.flags)
        served.flags = message.flags
        if self.engine is not None and served.joined:
            self.engine.blocked(served.number, not served.pushes or served.blocked_us is not None)
        return codec.SUCCESS

    def serve_proxy(self, stream: Stream, uid: str, flags: int) -> Served:
        """A stream is a proxy's, over either front."""
        other = self.by_uid.get(uid)
        if other is not None:  # the newer stream counts: the older may be dead, not noticed yet
            self.counts["replaced"] += 1
            self.subscribers.taken_over(other.stream)
            self.end(other.stream, "another stream has the same LB UID")
        served = Served(uid, self.settings.fleet.group, self.proxies.number(uid), stream, flags)
        self.served[stream.number] = self.by_uid[uid] = self.by_number[served.number] = served
        return served

    def lb_groups(self, served: Served, message: Registration | Deregistration) -> int:
        if any(group.group.name != self.settings.fleet.group for group in message.groups):
            return codec.INVALID_GROUP if isinstance(message, Registration) else codec.UNKNOWN_GROUP
        keys = [member.key() for group in message.groups for member in group.members]
        if isinstance(message, Registration):
            if served.registered and served.standing.issuperset(keys):
                return codec.ALREADY_REGISTERED
            served.registered, served.standing = True, served.standing | frozenset(keys)
            return codec.SUCCESS
        if not served.registered:
            return codec.UNKNOWN_GROUP
        if not keys:
            served.registered = served.joined = False
            served.standing = frozenset()
            if self.engine is not None:
                self.engine.left(served.number)
        return codec.SUCCESS

    def join(self, served: Served) -> None:
        """A proxy's group is registered: from here on it is joined."""
        now = self.clock()
        if served.number in self.engine.unread:
            self.engine.holds_more(served.number, served.standing)
            return
        served.joined = True
        zone, rate = self.proxies.place(served.uid)
        rate = self.evidence.rates.get(served.uid, rate)
        self.engine.now = max(self.engine.now, now)
        obeys = served.stream.number in self.subscribers.links
        self.engine.joined(served.number, True, rate, zone, served.standing, obeys, served.resumes)
        self.engine.blocked(served.number, not served.pushes)
        self.log.info(
            "proxy joined",
            proxy=served.uid,
            number=served.number,
            peer=served.stream.peer,
            holds=len(served.standing),
        )

    def get_weights(self, served: Served, number: int, message: GetWeights) -> None:
        interval = self.settings.sasp.poll_interval_s
        group = Group(served.uid, self.settings.fleet.group)
        if any(one != group for one in message.groups) or not served.registered:
            served.stream.write(codec.write(codec.GetWeightsReply(codec.UNKNOWN_GROUP, interval), number))
            return
        if self.engine is None:
            served.stream.write(codec.write(codec.GetWeightsReply(codec.SUCCESS, interval), number))
            return
        if not served.pushes and served.message:
            self.engine.delivered(served.number, served.message)  # it asks again: it has read the last answer
        mark, way = self.engine.pull(served.number)
        brief = not served.pushes and served.flags & codec.NO_CHANGE and served.message
        lines = way.lines if brief else self.engine.tables.all_lines(served.number)
        fixed = codec.BYTE.pack(codec.SUCCESS) + codec.SHORT.pack(interval) + codec.SHORT.pack(1)
        rows = codec.group_of_weights(served.group, len(lines), self.rows(lines))
        data = codec.frame(number, codec.GET_WEIGHTS_REPLY, fixed, rows)
        if served.pushes:
            self.send(served, data, mark)
        else:
            served.message = mark
            served.stream.write(data)

    def rows(self, lines: tuple[Line, ...]) -> bytes:
        """Weight entries as bytes; proxies of one table share them."""
        if not lines:
            return b""
        known = self.encoded.get(id(lines))
        if known is not None and known[0] is lines:
            return known[1]
        pieces = []
        for server, weight, flags in lines:
            head = self.members.get(server)
            if head is None:
                member = codec.write_member(codec.Member.at(*server))
                head = codec.PIECE.pack(codec.WEIGHT_ENTRY, codec.PIECE.size + codec.ENTRY_TAIL.size) + member
                if len(self.members) > 65_536:
                    self.members.clear()
                self.members[server] = head
            pieces += (head, codec.ENTRY_TAIL.pack(0, flags, weight))
        data = b"".join(pieces)
        self.encoded[id(lines)] = lines, data
        if len(self.encoded) > ENCODED_MOST:
            self.encoded.popitem(last=False)
        return data

    def push(self, write: Write, now: int) -> None:
        """Tell one proxy, without waiting."""
        served = self.by_number[write.proxy]
        if served.stream.number in self.subscribers.links:
            self.subscribers.push(served, write)
            return
        shut, rest = write.way
        if not served.flags & codec.NO_CHANGE:
            held = self.engine.tables.proxies[write.proxy].holds
            shut, rest = tuple([line for line in shut if line.server not in held.lines]), held.whole()
        if served.unproven_us is None:
            served.unproven_us, served.answered = now, False
        served.message = (served.message + 1) & 0x7FFFFFFF
        rows = self.rows(shut) + self.rows(rest)
        frame = codec.send_weights_frame(served.message, served.group, len(shut) + len(rest), rows)
        self.send(served, frame, write.number)

    def send(self, served: Served, data: bytes, mark: int) -> None:
        stream = served.stream
        if not stream.write(data, mark):
            self.let_go(served, "more waits for it than is held")
            return
        if stream.rest:
            self.stalled.add(stream.number)
            self.block(served, True)
        self.undelivered.add(stream.number)

    def block(self, served: Served, on: bool) -> None:
        served.blocked_us = (served.blocked_us or self.clock()) if on else None
        self.engine.blocked(served.number, on or not served.pushes)

    def pump(self, number: int, now: int) -> None:
        """A socket that took too little is tried again."""
        stream, served = self.streams[number], self.served[number]
        stream.pump()
        if not stream.rest:
            self.stalled.discard(number)
            self.block(served, not self.subscribers.room(stream))
        elif now - served.blocked_us > self.settings.sasp.write_stall:
            self.let_go(served, "its socket takes nothing")

    def prove(self, number: int) -> None:
        """What a proxy's machine has taken counts as applied."""
        stream = self.streams.get(number)
        if stream is None:
            self.undelivered.discard(number)
            return
        newest = stream.delivered()
        if newest is not None and number in self.served:
            self.engine.delivered(self.served[number].number, newest)
        if not stream.marks:
            self.undelivered.discard(number)

    # Slow peers

    def shows_reading(self, served: Served) -> None:
        """A proxy that asks by turns has read the reply before, and all that was written before that."""
        served.asked_us.append(self.clock())
        if served.answered:
            served.unproven_us = None

    def watch(self, now: int) -> None:
        self.subscribers.watch(now)
        for number, until_us in list(self.unknown.items()):
            if now >= until_us and number in self.streams:
                self.end(self.streams[number], "it never said what it is")
        proof_us = self.settings.sasp.read_proof
        for served in list(self.served.values()) if proof_us else ():
            if served.unproven_us is None or len(served.asked_us) < 3:
                continue  # who does not ask by turns can't show it; write_stall looks after those
            times = list(served.asked_us)
            usual_us = max(after - before for before, after in zip(times, times[1:], strict=False))
            if now - served.unproven_us > proof_us and now - times[-1] > max(proof_us, 3 * usual_us):
                self.let_go(served, "it does not read")

    def let_go(self, served: Served, why: str) -> None:
        self.counts["let_go"] += 1
        self.log.warning("proxy let go", proxy=served.uid, why=why)
        self.end(served.stream, why)

    # The rest

    def on_points(self, batch: Batch, wall_ns: int, box: queue.SimpleQueue) -> None:
        places = {
            served.uid: (served.number, self.proxies.place(served.uid)[0])
            for served in (self.by_uid.get(point.reporter) for point in batch.points)
            if served
        }
        known = self.engine.listed if self.engine is not None else {}
        box.put(self.weigh(batch.points, wall_ns, places, known))

    def weigh(self, points: list, wall_ns: int, places: dict, known: dict) -> dict[str, int]:
        """Take the points of a report, whichever front brought it."""
        verdicts = self.evidence.take(points, wall_ns, places, known)
        self.counts["reports"] += 1
        if set(verdicts) - {FRESH, "unknown"}:
            who = sorted({point.reporter for point in points})[:3]
            self.log.info("report not fresh", reporters=who, **verdicts)
        return verdicts

    def on_filed(self, lines: list[Filed]) -> None:
        self.membership.file(lines)
        self.log.info("list file read", servers=len(lines))

    def on_remembered(self, lines: list[Filed]) -> None:
        self.membership.remember(lines, self.clock())
        self.log.info("starting from the cached list", servers=len(lines))

    def on_table(self, deed: str, words: dict, box: queue.SimpleQueue) -> None:
        """Something that people do to a table."""
        try:
            box.put((200, table_deed(self, deed, words)))
        except PinError as flaw:
            box.put((409, {"error": str(flaw)}))
        except (KeyError, TypeError, ValueError) as flaw:
            box.put((400, {"error": f"{type(flaw).__name__}: {flaw}"}))

    def on_status(self, box: queue.SimpleQueue) -> None:
        box.put(status(self))

    def on_stop(self) -> None:
        self.stopping = True
