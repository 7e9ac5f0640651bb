"""The relay's two ways: news of the proxies, and calls that carry the module's orders, one at a time."""

from __future__ import annotations

import queue
import socket
import threading
import time
from collections.abc import Callable
from itertools import count

from rainpick.node.commit_answers import BUSY, Accepted, Rejected, parse_answer
from rainpick.node.commit_calls import CommitCall, MergedNonces, UnconfirmedCall, merge_calls
from rainpick.node.configuration import Vocabulary
from rainpick.node.line_reader import LineReader
from rainpick.node.log import log
from rainpick.node.message_fields import MalformedMessageError, load_json
from rainpick.node.proxy_membership import StreamClosed, StreamEvent, StreamOpened
from rainpick.node.relay_notifications import parse_notification

PIECE = 65_536
DIAL_S = 0.1  # a relay that is back is found within that
ANSWER_S = 0.12  # the relay answers within 50 ms or never; the rest is for a core that is shared
BUSY_S = 0.02
AGAIN_S = 0.02
IDLE_S = 1.0  # after which a call without orders keeps the connection from being closed as idle
SILENT_S = 2.0  # without a heartbeat, due each second
FORMER_S = 3.0  # a former address should end its stream in half of that; no longer is it read
REFUSED_MOST = 5  # times that a whole call is refused for good before it is left out


class NoAnswerError(Exception):
    """A call may have been carried out whole, or not at all."""


def dial(place: tuple[str, int], timeout_s: float) -> socket.socket:
    sock = socket.create_connection(place, timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class Calls:
    """Sends calls strictly in order. One that may or may not have been carried out is sent again, whole,
    before anything newer: repeated in its place it is harmless, as every order says how things are to be.

    Calls that had to wait go as one, see ``merge_calls``; ``tell`` is handed what their marks stand for, and
    the marks that are said again.
    """

    def __init__(
        self,
        place: tuple[str, int],
        routes: list[str],
        tell: Callable[[MergedNonces | UnconfirmedCall], None],
    ):
        self.place, self.routes, self.tell, self.queue = place, routes, tell, queue.SimpleQueue()
        self.waiting: list[CommitCall] = []  # taken from the queue and not yet answered, the next one first
        self.finishing: list[threading.Event] = []  # to be set once nothing waits
        self.sock: socket.socket | None = None
        self.dialled: tuple[str, int] | None = None
        self.lines, self.numbers, self.reached = LineReader(), count(1), True
        self.counts = {"calls": 0, "orders": 0, "again": 0, "busy": 0, "refused": 0, "dials": 0, "merged": 0}
        self.refusals = 0  # of the part that is sent now, not for being busy
        self.most: int | None = None  # orders in a part, while one that the relay refuses is searched for

    def put(self, call: CommitCall) -> None:
        self.queue.put(call)

    def finish(self, most_s: float) -> None:
        """For another thread: wait until all that was put has been sent and answered, but no longer."""
        done = threading.Event()
        self.queue.put(done)
        done.wait(most_s)

    def move(self, place: tuple[str, int]) -> None:
        """For another thread: the next call goes there."""
        self.place = place

    def run(self) -> None:
        while True:
            idle = not self.gather(0.0 if self.waiting else IDLE_S)
            if not self.waiting:
                while self.finishing:
                    self.finishing.pop().set()
                if idle and self.sock is not None:
                    self.keep()
            elif self.reach():
                self.gather(0.0)
                left = self.turn(self.waiting[0])
                self.waiting[:1] = [] if left is None else [left]

    def gather(self, wait_s: float) -> bool:
        """Take what was put, if anything is within that time; what waits for the relay goes as one."""
        taken = 0
        try:
            while True:
                item = self.queue.get(wait_s > 0 and not taken, wait_s)
                (self.waiting if type(item) is CommitCall else self.finishing).append(item)
                taken += 1
        except queue.Empty:
            pass
        if taken and len(self.waiting) > 1:
            self.counts["merged"] += len(self.waiting)
            self.waiting, told = merge_calls(self.waiting)
            if told is not None:
                self.tell(told)
        return taken > 0

    def reach(self) -> bool:
        """Have a connection, or try once to get one."""
        if self.sock is not None and self.dialled == self.place and not self.lines.rest and not self.ended():
            return True
        self.close()
        self.dialled = self.place
        try:
            self.sock, self.lines = dial(self.dialled, DIAL_S), LineReader()
        except OSError as error:
            if self.reached:
                self.reached = False
                log.warning("relay out of reach", why=str(error))
            time.sleep(AGAIN_S)
            return False
        self.counts["dials"] += 1
        if not self.reached:
            self.reached = True
            log.info("relay reached again")
        return True

    def keep(self) -> None:
        """A call without orders, so that the connection is not closed as idle; any answer will do."""
        try:
            self.send(CommitCall(None, ()))
        except NoAnswerError:
            self.close()

    def turn(self, call: CommitCall) -> CommitCall | None:
        """Send a call, or as much of it as goes into one, once: what is still to be sent of it."""
        part = call.first_part(self.routes, self.most)
        try:
            taken = self.send(part)
        except NoAnswerError as error:
            self.counts["again"] += 1
            log.warning("call in doubt, sent again", why=str(error), orders=part.size, mark=part.nonce)
            self.close()
            if part.nonce is not None:
                self.tell(UnconfirmedCall(part.nonce))
            return call
        if type(taken) is Rejected:
            self.counts["busy"] += 1
            self.refusals += taken.code != BUSY
            if self.refusals < REFUSED_MOST:
                time.sleep(BUSY_S)
                return call
            self.refusals = 0
            if len(part.commands) > 1:  # one of them must be at fault: the others are not to be lost with it
                self.most = len(part.commands) // 2
                return call
            log.error(
                "order left out",
                why=taken.code,
                orders=part.size,
                mark=part.nonce,
                order=str(part.commands[:1]),
            )
            taken = Accepted(part.size)
            self.most = None
        self.refusals = 0
        self.most = self.most and 2 * self.most
        self.counts["calls"] += 1
        self.counts["orders"] += taken.commands
        if taken.commands < part.size:
            self.counts["refused"] += 1
            log.warning(
                "order refused",
                place=taken.commands,
                orders=part.size,
                mark=part.nonce,
                order=str(part.wire_command(taken.commands)),
            )
        return call.remaining(taken.commands, part)

    def send(self, call: CommitCall) -> Accepted | Rejected:
        """One try; ``NoAnswerError``: the call may have been carried out, whole, or not at all."""
        number = next(self.numbers)
        try:
            self.sock.settimeout(ANSWER_S)
            self.sock.sendall(call.encode(number, self.routes))
            until = time.monotonic() + ANSWER_S
            while True:
                # A thread that got no turn on a busy core still reads what has come, without waiting.
                self.sock.settimeout(max(0.0, until - time.monotonic()))
                data = self.sock.recv(PIECE)
                if not data:
                    raise NoAnswerError("closed before the answer")
                for line in self.lines.receive(data):
                    return parse_answer(line, number, call.size)
        except (TimeoutError, BlockingIOError):
            raise NoAnswerError("no answer in time") from None
        except (OSError, ValueError) as error:
            raise NoAnswerError(str(error) or type(error).__name__) from None

    def ended(self) -> bool:
        """Whether the other side has closed, or written what nobody asked for."""
        try:
            self.sock.setblocking(False)
            return self.sock.recv(1, socket.MSG_PEEK) is not None
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class Subscription:
    """Subscribes, again and again; ``give`` is handed lists of the types of ``proxy_membership``.

    A stream is read by a thread of its own: at a new address the next one begins while the former is still
    read, until the old address ends it.
    """

    def __init__(self, place: tuple[str, int], names: Vocabulary, give: Callable[[list], None]):
        self.place, self.names, self.give = place, names, give
        self.streams = self.malformed = 0
        self.newest = self.ended = 0  # numbers of streams: the last begun, the last ended
        self.moved_s, self.changed = 0.0, threading.Condition()

    def move(self, place: tuple[str, int]) -> None:
        """For another thread: the news are to be had somewhere else from now on."""
        with self.changed:
            self.place, self.moved_s = place, time.monotonic()
            self.changed.notify()

    def run(self) -> None:
        reached = True
        while True:
            place = self.place
            try:
                sock = dial(place, DIAL_S)
            except OSError as error:
                if reached:
                    log.warning("news out of reach", why=str(error))
                reached = False
                time.sleep(AGAIN_S)
                continue
            reached = True
            self.newest += 1
            reader = threading.Thread(target=self.read, args=(sock, self.newest), name="news", daemon=True)
            try:
                reader.start()
            except RuntimeError as error:  # no thread is to be had now: that must not end the director
                sock.close()
                log.warning("news not read, dialled again", why=str(error), stream=self.newest)
                time.sleep(AGAIN_S)
                continue
            with self.changed:
                self.changed.wait_for(lambda place=place: self.place != place or self.ended == self.newest)

    def read(self, sock: socket.socket, number: int) -> None:
        try:
            with sock:
                self.follow(sock, number)
        except Exception as error:  # whatever it was, this stream is over, and only another one can help
            log.warning("news broke off", why=str(error) or type(error).__name__)
        finally:
            self.give([StreamClosed(number)])
            time.sleep(AGAIN_S)  # before the next one, if this was the newest
            with self.changed:
                self.ended = max(self.ended, number)
                self.changed.notify()

    def follow(self, sock: socket.socket, number: int) -> None:
        sock.sendall(b'{"jsonrpc":"2.0","id":1,"method":"subscribe"}\n')
        sock.settimeout(SILENT_S)
        lines, begun = LineReader(), False
        while number == self.newest or time.monotonic() < self.moved_s + FORMER_S:
            data = sock.recv(PIECE)
            if not data:
                raise ConnectionResetError("closed by the relay")
            found: list = []
            for line in lines.receive(data):
                if not begun:
                    message = load_json(line)
                    if not isinstance(message, dict) or message.get("result") is not True:
                        raise ValueError(f"not subscribed: {line[:80]!r}")
                    begun = True
                    self.streams += 1
                    found.append(StreamOpened(number))
                    continue
                try:
                    found.append(StreamEvent(number, parse_notification(line, self.names)))
                except MalformedMessageError as error:
                    self.malformed += 1
                    log.warning("news dropped", why=str(error))
            self.give(found)
