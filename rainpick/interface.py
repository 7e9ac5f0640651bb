"""What a director hears and what it orders, as typed values.

The events go into ``rainpick.balance.Director.step``, the orders come out of it. Nothing here decides.
Times are whole microseconds. A server is known by its address, an opaque value that is handed back as it
came. A load report is a tuple of numbers in the order of the setting ``load.names``, or empty.
"""

from collections.abc import Hashable
from typing import NamedTuple

Address = Hashable

GONE, READY, DRAINING = 0, 1, 2  # what the list says of a server
DELTA, FULL, CACHED, FAILED = 0, 1, 2, 3  # what an update of the list is
OK, ERROR, REFUSED, TIME_OUT, UNREACHABLE, BROKEN = 0, 5, 11, 110, 111, 104  # how a probe ended
NO_RETRY, ON_PROOF, ANY_FAILURE, ANY_FAILURE_TWICE = 0, 1, 2, 3  # when a proxy tries again
ALL_TABLES = 65535  # in Admit: for all joined proxies
ALL_ROUTES = 0  # as a set of routes: every route


# Events


class Started(NamedTuple):
    """The instance begins, with nothing; a cached list follows."""

    seed: int
    settings: dict


class Listed(NamedTuple):
    """News of the server list; ``servers`` holds changes only where ``kind`` is DELTA."""

    kind: int
    servers: tuple
    version: int


class Server(NamedTuple):
    """One entry of the list."""

    weight: float
    zone: int
    started_us: int
    machine: int
    cell: int
    address: Address
    state: int


class TimerDue(NamedTuple):
    token: int


class ProbeEnded(NamedTuple):
    server: Address
    outcome: int
    took_us: int
    load: tuple


class PeerSaid(NamedTuple):
    peer: int
    data: bytes


class ProxyJoined(NamedTuple):
    """``fresh``: it holds only its standing table; ``rate``: the calls a second it usually gets."""

    proxy: int
    fresh: bool
    rate: float
    zone: int


class ProxyLeft(NamedTuple):
    proxy: int


class Applied(NamedTuple):
    """A proxy has read the message that carried this mark."""

    proxy: int
    number: int
    took_us: int


class Repeated(NamedTuple):
    """What was ordered under this mark is written again: it may have been carried out without an answer."""

    number: int


class ServerMet(NamedTuple):
    """What the joined proxies of a zone met at a server."""

    server: Address
    zone: int
    tries: int
    dropped: int
    mean_us: int
    span_us: int
    load: tuple


class ProxyMet(NamedTuple):
    """The calls of a route that came to a proxy."""

    proxy: int
    route: int
    calls: int
    dropped: int
    span_us: int


class SliceMet(NamedTuple):
    """The calls of a route that came for a slice."""

    slice: int
    route: int
    calls: int
    dropped: int
    span_us: int


class SliceGiven(NamedTuple):
    """A slice comes into this instance's charge, or leaves it."""

    slice: int
    on: bool


class SliceLine(NamedTuple):
    """A line that the store holds for a slice just given."""

    slice: int
    server: Address
    weight: float


# Orders


class SetLine(NamedTuple):
    """Weight 0 takes the line out."""

    table: int
    server: Address
    weight: float


class ClearTable(NamedTuple):
    table: int


class Withdraw(NamedTuple):
    server: Address
    on: bool


class Mark(NamedTuple):
    """Ask the proxies that this reply reaches (``everyone``: all joined ones) to answer with Applied."""

    number: int
    everyone: bool


class Bind(NamedTuple):
    table: int
    routes: int
    proxy: int


class Admit(NamedTuple):
    """How much of some routes a table lets in, and when its proxies try again."""

    table: int
    routes: int
    level: float
    retry: int


class Probe(NamedTuple):
    server: Address


class Tell(NamedTuple):
    """``peer`` None: all of them."""

    peer: int | None
    data: bytes


class SetTimer(NamedTuple):
    token: int
    delay_us: int


class Subscribe(NamedTuple):
    on: bool


class FetchList(NamedTuple):
    pass


class Note(NamedTuple):
    text: str
