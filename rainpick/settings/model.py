"""The schema of a director's settings file, with a field for each key of the file.

Field names are the keys of the file, and class names are in the printed JSON Schema, so neither may change.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Literal

from pydantic import Field, model_validator

from rainpick.settings.address_pattern import AddressPattern
from rainpick.settings.part import Part, text_field
from rainpick.settings.units import Address, Duration

# Retries that a route allows: at any server, only within its repeat group and window, or none.
Effect = Literal["repeatable", "keyed", "mutating"]


class DirectorPart(Part):
    """The director: its number among the directors of the fleet, its zone, and settings of its process."""

    number: int = Field(0, ge=0, description="this director's place among them, from 0")
    of: int = Field(1, ge=1, description="how many directors serve the fleet")
    zone: str | None = Field(None, description="the zone it stands in; the first of `zones` if absent")
    seed: int = Field(0, ge=0, description="seed of its chance")
    list_cache: str | None = Field(None, description="file that keeps the last list over restarts")
    settle: Duration = text_field(
        "1s", description="without a cached list: how long members may register first"
    )
    inbox: int = Field(20_000, ge=100, description="events that may wait for the core")


class ListenPart(Part):
    """The addresses on which the director listens."""

    sasp: Address = text_field("127.0.0.1:3860", description="members and proxies (RFC 4678)")
    otlp: Address = text_field("127.0.0.1:4318", description="load reports (OTLP over HTTP)")
    status: Address = text_field("127.0.0.1:8780", description="the director's state as JSON")
    mqtt: Address | None = Field(None, description="publish-subscribe for proxies (MQTT 5); off if absent")


class FleetRule(Part):
    """Configured properties of the servers whose address matches a pattern."""

    schema_description = (
        "What is known beforehand of the servers at some addresses; the first rule that matches counts."
    )

    match: str = Field(description="HOST, HOST:PORT, HOST:FIRST-LAST or NETWORK/BITS[:PORTS]")
    weight: float | None = Field(None, gt=0, description="listed weight")
    zone: str | None = None
    machine: str | None = None
    pod: int | None = Field(None, ge=0, le=65535, description="servers that share kept keys")


class FleetPart(Part):
    """The servers: limits of registration, configured properties, grace after the loss of a stream."""

    uid: str = Field("rainpick", min_length=1, max_length=64, description="LB UID of members' groups")
    group: str = Field("servers", min_length=1, max_length=255, description="group of members and proxies")
    servers: tuple[FleetRule, ...] = ()
    weight_most: float = Field(16.0, gt=0, le=65535, description="the largest listed weight allowed")
    member_grace: Duration = text_field("1.5s", description="a member whose stream broke is gone after this")
    members_most: int = Field(10_000, ge=1, le=60_000, description="members that may be registered at once")
    list_file: str | None = Field(None, description="a second source of the list, read again on SIGHUP")


class RoutePart(Part):
    """A route: a kind of request with a latency objective, a time limit and an importance."""

    name: str
    slo_time: Duration = Field(description="the time within which an answer is wanted")
    time_limit: Duration = Field(description="the time after which a client gives up")
    importance: float = Field(1.0, ge=0)
    effect: Effect = "repeatable"
    repeat_window: Duration = text_field("0s", description="keyed: how long repeats are dropped")
    repeat_group: Literal["all", "zone", "pod"] = "pod"

    @model_validator(mode="after")
    def check_times(self) -> RoutePart:
        """Check that the time limit is not less than the latency objective."""
        if self.time_limit < self.slo_time:
            raise ValueError("time_limit must not be under slo_time")
        return self


class KnownProxy(Part):
    """Configured properties of the proxies whose LB UID matches a pattern."""

    schema_description = (
        "What is known of proxies whose LB UID matches a pattern; the first that matches counts."
    )

    match: str = Field(description="LB UID; * and ? stand for anything")
    zone: str | None = None
    rate: float | None = Field(None, gt=0, description="calls a second it usually gets")


class ProxiesPart(Part):
    """The proxies: their number, their load reports, and their configured properties."""

    count: int = Field(30, ge=0, le=65_000, description="proxies of all directors together")
    by_zone: bool = Field(False, description="a proxy joins a director of its own zone")
    standing_lines: int = Field(6, ge=1, description="lines of a standing table")
    report_every: Duration = text_field("1s", description="how often proxies report")
    hears_per_s: float = Field(2_000.0, gt=0, description="report lines a second given to the decisions")
    known: tuple[KnownProxy, ...] = ()
    zone: str | None = Field(None, description="zone of a proxy that no rule knows")
    rate: float = Field(1.0, gt=0, description="calls a second of a proxy that no rule knows")
    admit: Literal["silent", "ratio", "rate"] = Field(
        "silent", description="levels that proxies obey: a part, calls a second, none. SASP carries none"
    )
    ejects_after: int = Field(0, ge=0, description="drops in a row after which proxies shun a server")


class ChannelPart(Part):
    """Limits of the channel to the proxies, in table lines."""

    lines_per_s: float = Field(2_500.0, gt=0)
    head_lines: int = Field(6, ge=0, description="what a message costs beside its lines")
    pending_lines: int = Field(5_000, ge=1, description="lines that may wait")
    messages_most: int = Field(0, ge=0, description="messages to one proxy within messages_over; 0: no limit")
    messages_over: Duration = text_field("10s")

    @model_validator(mode="after")
    def check_pending_lines(self) -> ChannelPart:
        """Check that a few messages fit into the queue; otherwise the channel would block for ever."""
        if self.pending_lines < 4 * (self.head_lines + 1):
            raise ValueError("pending_lines has no room for a few messages of head_lines each")
        return self


class RulesPart(Part):
    """Limits on the published tables: empty tables, drains, slow start, overload of servers."""

    bare: Duration = text_field("2.8s", description="a joined proxy may be without a line for so long")
    drain_grace: Duration = text_field("2.7s", description="then nothing goes to a drained server any more")
    warm_after: Duration = text_field("12s", description="a started server is warm then")
    start_capacity: float = Field(0.16, gt=0, le=1)  # capacity at a server's start, as a fraction
    fall_multiple: float = Field(3.0, gt=1)  # a cold server fails at this multiple of its capacity
    # Window over which the work of a cold server is summed to check whether ``fall_multiple`` is exceeded.
    fall: Duration = text_field("1.5s")
    gone_does_not_bind: bool = False  # whether a server that left the list is possibly still serving


class SaspPart(Part):
    """Limits of the SASP front."""

    frame_most: int = Field(262_144, ge=64, le=16_777_216, description="bytes of the largest message taken")
    streams_most: int = Field(4_096, ge=1, description="streams that may be open at once")
    hello: Duration = text_field("5s", description="a stream must say what it is within this time")
    poll_interval_s: int = Field(1, ge=1, le=65_535, description="interval in Get Weights replies, s")
    read_proof: Duration = text_field(
        "5s", description="a proxy that asks by turns must show it reads; 0s: never"
    )
    write_stall: Duration = text_field("2s", description="a proxy whose socket takes nothing is let go")


class MqttPart(Part):
    """Limits of the publish-subscribe front."""

    packet_most: int = Field(1_048_576, ge=1_024, le=268_435_455, description="bytes of the largest packet")
    receive_most: int = Field(64, ge=1, le=65_535, description="messages a client may send unacknowledged")
    ack_within: Duration = text_field(
        "5s", description="a proxy that acknowledges nothing for so long is let go"
    )
    says_per_s: float = Field(20.0, gt=0, description="messages a second that a client may publish")
    observers_most: int = Field(16, ge=0, description="clients that follow tables and are no proxies")


class OtlpPart(Part):
    """Limits of the front that receives load reports."""

    body_most: int = Field(1_048_576, ge=1_024, description="bytes of a report, unpacked")
    connections_most: int = Field(1_024, ge=1)
    late_after: Duration = text_field("3s", description="a report whose period ended longer ago is late")
    skew_most: Duration = text_field("1s", description="how far a reporter's clock is trusted to be off")
    streams_most: int = Field(100_000, ge=100, description="streams of report points that are remembered")
    idle: Duration = text_field("60s", description="a silent connection is closed after this")


class RecordPart(Part):
    """The record of received events and issued commands."""

    folder: str | None = Field(None, description="where the day is recorded; not at all if absent")
    segment_most: int = Field(67_108_864, ge=65_536, description="bytes of a segment")
    keep_most: int = Field(10_737_418_240, ge=0, description="bytes kept in all; 0: no limit")
    keep: Duration = text_field("168h", description="how long segments are kept")
    sync: bool = Field(True, description="wait for the disk after each block (twice a second)")


class LogPart(Part):
    """The log on standard error."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["json", "console"] = "json"


class PricesPart(Part):
    """Costs of a request other than its duration."""

    cross_zone: float = Field(0.0, ge=0, description="what a call costs that crosses zones")


class Settings(Part):
    """All settings of a director."""

    schema_description = "A director's settings."

    director: DirectorPart = DirectorPart()
    listen: ListenPart = ListenPart()
    zones: tuple[str, ...] = Field(("local",), min_length=1, max_length=256)
    machines: tuple[str, ...] = Field(("any",), min_length=1, max_length=65_536)
    fleet: FleetPart = FleetPart()
    routes: tuple[RoutePart, ...] = Field(description="the kinds of call, 1 to 16")
    proxies: ProxiesPart = ProxiesPart()
    channel: ChannelPart = ChannelPart()
    rules: RulesPart = RulesPart()
    sasp: SaspPart = SaspPart()
    mqtt: MqttPart = MqttPart()
    otlp: OtlpPart = OtlpPart()
    prices: PricesPart = PricesPart()
    log: LogPart = LogPart()
    record: RecordPart = RecordPart()

    @model_validator(mode="after")
    def check_references(self) -> Settings:
        """Check conditions across parts: counts, names of zones and machines, duplicate addresses."""
        if not 1 <= len(self.routes) <= 16:
            raise ValueError(f"routes: there are {len(self.routes)}; 1 to 16 are allowed")
        self._check_zones()
        self._check_server_rules()
        if len({route.name for route in self.routes}) < len(self.routes):
            raise ValueError("routes: two routes have the same name")
        if self.director.number >= self.director.of:
            raise ValueError(f"director.number: {self.director.number} must be under director.of")
        self._check_listen_addresses()
        return self

    def zone_index(self, name: str | None) -> int:
        """Return the index of a zone; None is the first zone."""
        return self.zones.index(name) if name is not None else 0

    def _zone_references(self) -> Iterator[tuple[str, str | None]]:
        """Yield the path of each part that may name a zone, and the name."""
        yield "director", self.director.zone
        yield "proxies", self.proxies.zone
        for index, rule in enumerate(self.fleet.servers):
            yield f"fleet.servers.{index}", rule.zone
        for index, proxy in enumerate(self.proxies.known):
            yield f"proxies.known.{index}", proxy.zone

    def _check_zones(self) -> None:
        for path, zone in self._zone_references():
            if zone is not None and zone not in self.zones:
                raise ValueError(f"{path}.zone: {zone!r} is not one of zones {list(self.zones)}")

    def _check_server_rules(self) -> None:
        for index, rule in enumerate(self.fleet.servers):
            path = f"fleet.servers.{index}"
            if rule.machine is not None and rule.machine not in self.machines:
                raise ValueError(
                    f"{path}.machine: {rule.machine!r} is not one of machines {list(self.machines)}"
                )
            if rule.weight is not None and rule.weight > self.fleet.weight_most:
                raise ValueError(
                    f"{path}.weight: {rule.weight} is over fleet.weight_most {self.fleet.weight_most}"
                )
            AddressPattern(rule.match)  # raises if the pattern is invalid

    def _check_listen_addresses(self) -> None:
        """Check for duplicate addresses. Port 0 may be repeated, since the system chooses different ports."""
        listen = self.listen
        fronts = (listen.sasp, listen.otlp, listen.status, listen.mqtt)
        fixed = [address for address in fronts if address is not None and address.port]
        if len(set(fixed)) < len(fixed):
            raise ValueError("listen: two fronts have the same address")
