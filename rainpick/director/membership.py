"""The server list as members and a list file tell it. Free of I/O; times are whole microseconds of one clock.

A server is *ready* while it is registered, *draining* once it quiesced, *gone* when it deregistered or its
stream broke and the grace passed. What one batch of events did to a server comes out as one change.
"""

from __future__ import annotations

from typing import NamedTuple

from rainpick import model
from rainpick.sasp import codec
from rainpick.sasp.codec import Group, Member
from rainpick.settings.fleet import Match
from rainpick.settings.model import Settings

Key = tuple[str, int]
LABEL_KEYS = ("weight", "zone", "machine", "pod", "boot", "age")


def format_address(server: Key) -> str:
    """``HOST:PORT``."""
    return f"{server[0]}:{server[1]}"


class Described(NamedTuple):
    """What is known of a server beside its state."""

    weight: float
    zone: int
    machine: int
    pod: int
    boot: str | None  # tells one start of the process from the next
    age_us: int | None  # since its start, as it says itself


class RefusedMemberError(Exception):
    """A registration that can't be taken: SASP return code and reason."""

    def __init__(self, code: int, why: str):
        super().__init__(why)
        self.code = code


class Filed(NamedTuple):
    """A line of the list file, or of the cached list."""

    key: Key
    weight: float
    zone: int
    machine: int
    pod: int
    started_us: int
    draining: bool


class Held:
    """One server, and which sources speak for it."""

    __slots__ = ("key", "described", "started_us", "quiesced", "owner", "filed", "told", "state")

    def __init__(self, key: Key):
        self.key = key
        self.described: Described | None = None
        self.started_us = 0
        self.quiesced = False
        self.owner: int | None = None  # the stream that registered it
        self.filed: Filed | None = None
        self.told: model.Endpoint | None = None  # as the decisions know it
        self.state = 0  # the opaque state that the member set


class Membership:
    """Who serves, from all sources."""

    def __init__(self, settings: Settings, born_us: int):
        fleet = settings.fleet
        self.settings, self.group = settings, Group(fleet.uid, fleet.group)
        self.rules = [(Match(rule.match), rule) for rule in fleet.servers]
        self.held: dict[Key, Held] = {}
        self.changed: set[Key] = set()
        self.leaving: dict[Key, int] = {}  # whose streams broke: when they are gone
        self.version = 0
        # Without a word of their age, members that come while a director starts are taken for old ones:
        # the design's "ready servers full weight after a restart".
        self.settled_us = born_us + max(fleet.member_grace, settings.director.settle)
        self.born_us, self.newest_us, self.from_cache = born_us, born_us, False

    # What members say

    def describe(self, member: Member) -> Described:
        """The settings' rules by address first, then what the label carries (``key=value;...``)."""
        said: dict[str, str] = {}
        for piece in filter(None, member.label.split(";")):
            name, equals, value = piece.partition("=")
            if not equals or name not in LABEL_KEYS or name in said:
                raise RefusedMemberError(
                    codec.NOT_UNDERSTOOD, f"label {piece!r}: known once each are {', '.join(LABEL_KEYS)}"
                )
            said[name] = value
        host = member.host()
        rule = next((rule for match, rule in self.rules if match.covers(host, member.port)), None)
        try:
            weight = rule.weight if rule and rule.weight is not None else float(said.get("weight", "1"))
            zone = self.place(self.settings.zones, rule.zone if rule else None, said.get("zone"), "zone")
            machine = self.place(
                self.settings.machines, rule.machine if rule else None, said.get("machine"), "machine"
            )
            pod = rule.pod if rule and rule.pod is not None else int(said.get("pod", "0"))
            age_us = int(float(said["age"]) * 1e6) if "age" in said else None
        except (ValueError, OverflowError) as flaw:
            raise RefusedMemberError(codec.NOT_ACCEPTED, f"label {member.label!r}: {flaw}") from None
        if not 0 < weight <= self.settings.fleet.weight_most:
            raise RefusedMemberError(
                codec.NOT_ACCEPTED,
                f"weight {weight} is not over 0 and at most {self.settings.fleet.weight_most}",
            )
        if not 0 <= pod <= 65_535 or age_us is not None and age_us < 0:
            raise RefusedMemberError(codec.NOT_ACCEPTED, f"label {member.label!r}: pod or age out of range")
        return Described(weight, zone, machine, pod, said.get("boot"), age_us)

    @staticmethod
    def place(names: tuple[str, ...], ruled: str | None, said: str | None, what: str) -> int:
        name = ruled if ruled is not None else said
        if name is None:
            return 0
        if name not in names:
            raise ValueError(f"{what} {name!r} is not one of {list(names)}")
        return names.index(name)

    def right_group(self, group: Group) -> None:
        if group.uid != self.group.uid:
            raise RefusedMemberError(codec.UNKNOWN_LB, f"members register under {self.group.uid!r}")
        if group.name != self.group.name:
            raise RefusedMemberError(codec.INVALID_GROUP, f"the group is {self.group.name!r}")

    def register(self, stream: int, group: Group, members: tuple[Member, ...], now: int) -> None:
        """All of them or, when one can't be taken, none."""
        self.right_group(group)
        described = [(member.key(), self.describe(member)) for member in members]
        fresh = sum(key not in self.held for key, _ in described)
        if len(self.held) + fresh > self.settings.fleet.members_most:
            most = self.settings.fleet.members_most
            raise RefusedMemberError(codec.NOT_ACCEPTED, f"{most} members are the most")
        for key, _ in described:
            if key in self.held and self.held[key].owner == stream:
                raise RefusedMemberError(
                    codec.ALREADY_REGISTERED, f"{key[0]}:{key[1]} is registered on this stream"
                )
        for key, what in described:
            self.take(stream, key, what, now)

    def take(self, stream: int, key: Key, what: Described, now: int) -> None:
        """A server registers: it may be new, back from a broken stream, or started anew.

        The last stream to register it speaks for it: the one before may be dead without having been noticed.
        """
        if key not in self.held:
            self.held[key], self.newest_us = Held(key), now
        held = self.held[key]
        known = held.owner is not None or key in self.leaving
        same = known and held.described is not None and held.described.boot == what.boot
        if not same:
            held.quiesced, held.state = False, 0
            if what.age_us is not None:
                held.started_us = max(0, now - what.age_us)
            elif held.filed is not None and not known:
                held.started_us = held.filed.started_us
            else:
                held.started_us = 0 if now < self.settled_us and not known else now
        held.described, held.owner = what, stream
        self.leaving.pop(key, None)
        self.changed.add(key)

    def owned(self, stream: int, key: Key) -> Held:
        held = self.held.get(key)
        if held is None or held.owner != stream:
            raise RefusedMemberError(codec.NOT_REGISTERED, f"{key[0]}:{key[1]} is not of this stream")
        return held

    def deregister(self, stream: int, group: Group, members: tuple[Member, ...], now: int) -> None:
        """Gone at once; a group without members means all that this stream registered."""
        self.right_group(group)
        if members:
            leaving = [self.owned(stream, member.key()) for member in members]
        else:
            leaving = [held for held in self.held.values() if held.owner == stream]
        for held in leaving:
            self.leave(held)

    def set_state(self, stream: int, group: Group, states: tuple[codec.MemberState, ...]) -> None:
        self.right_group(group)
        found = [(self.owned(stream, one.member.key()), one) for one in states]
        for held, one in found:
            held.quiesced, held.state = one.quiesce, one.state
            self.changed.add(held.key)

    def leave(self, held: Held) -> None:
        held.owner = held.described = None
        held.quiesced = False
        self.leaving.pop(held.key, None)
        self.changed.add(held.key)

    def stream_broke(self, stream: int, now: int) -> None:
        """Its servers go when the grace has passed, if no other stream has registered them by then."""
        for held in self.held.values():
            if held.owner == stream:
                held.owner = None
                self.leaving[held.key] = now + self.settings.fleet.member_grace

    # The list file and the cached list

    def file(self, lines: list[Filed]) -> None:
        """The whole file as it is now; what it no longer names is forgotten unless it is registered."""
        named = {line.key: line for line in lines}
        for key, held in self.held.items():
            if held.filed is not None and key not in named:
                held.filed = None
                self.changed.add(key)
        for key, line in named.items():
            self.held.setdefault(key, Held(key)).filed = line
            self.changed.add(key)

    def remember(self, lines: list[Filed], now: int) -> None:
        """The cached list of an earlier life: each server has the grace to register again."""
        self.from_cache = bool(lines)
        for line in lines:
            held = self.held.setdefault(line.key, Held(line.key))
            held.described = Described(line.weight, line.zone, line.machine, line.pod, None, None)
            held.started_us, held.quiesced = line.started_us, line.draining
            self.leaving[line.key] = now + self.settings.fleet.member_grace + self.settings.director.settle
            self.changed.add(line.key)

    # What the decisions are told

    SETTLES_MOST = 10  # a fleet that keeps growing is not waited for any longer

    def begin_us(self) -> int | None:
        """When there is a list to begin with; None while there is none.

        The tables that the decisions lay follow from the list they begin with: begun with nothing, or with
        the first few of a fleet that is just registering, they would never be those of the whole fleet.
        """
        if not self.held:
            return None
        if self.from_cache:
            return self.born_us
        settle = self.settings.director.settle
        last = self.born_us + self.SETTLES_MOST * settle
        return max(self.born_us + settle, min(self.newest_us + settle, last))

    def due_us(self) -> int | None:
        """When the next grace passes."""
        return min(self.leaving.values(), default=None)

    def expire(self, now: int) -> list[Key]:
        """Servers whose grace has passed."""
        late = [key for key, gone_us in self.leaving.items() if gone_us <= now]
        for key in late:
            self.leave(self.held[key])
        return late

    def entry(self, held: Held) -> model.Endpoint | None:
        """A server as the list has it; None if no source has it."""
        here = held.owner is not None or held.key in self.leaving
        if not here and held.filed is None:
            return None
        draining = here and held.quiesced or held.filed is not None and held.filed.draining
        what = held.filed if held.filed is not None else held.described
        started_us = held.started_us if here else held.filed.started_us
        return model.Endpoint(
            what.weight,
            what.zone,
            started_us,
            what.machine,
            what.pod,
            held.key,
            model.EndpointState.DRAINING if draining else model.EndpointState.READY,
        )

    def changes(self) -> model.EndpointUpdate | None:
        """One update with all that changed since the last one; None if nothing did."""
        news = []
        for key in sorted(self.changed):
            held = self.held[key]
            entry = self.entry(held)
            if entry is None:
                if held.told is not None:
                    news.append(held.told._replace(state=model.EndpointState.GONE))
                del self.held[key]
            elif entry != held.told:
                held.told = entry
                news.append(entry)
        self.changed.clear()
        if not news:
            return None
        self.version += 1
        return model.EndpointUpdate(model.UpdateKind.DELTA, tuple(news), self.version)

    def whole(self) -> tuple[model.Endpoint, ...]:
        """Every server that some source has."""
        return tuple(held.told for _, held in sorted(self.held.items()) if held.told is not None)

    def start(self) -> model.EndpointUpdate:
        """The list that a starting director begins with."""
        self.changes()
        return model.EndpointUpdate(model.UpdateKind.CACHED, self.whole(), self.version)
