"""The decisions of one director: events in, commands out.

Call ``Director.step`` with the current time and the new events; it returns the commands to carry out. The
first event is ``Started``. ``docs/design.md`` lists the parts of the design that were kept, the changes to
it, and the conditions of each exception. Each concern has a module of its own, which owns its state:

- ``endpoint_list``, ``proxy_membership``, ``fleet_load``: apply events to the state;
- ``slow_start``, ``capacity``, ``outlier_detection``, ``overload``, ``concentration``: determine the
  percentage of its weight that a server gets;
- ``locality``, ``table_assignment``, ``key_ranges``: assign servers to tables and key ranges;
- ``admission``: limits the requests that proxies admit under congestion;
- ``withdrawals``, ``binding``, ``weight_updates``, ``publisher``, ``send_queue``: determine what is published
  and when;
- ``retransmission``: determines when an unconfirmed call is sent again;
- ``channel_progress``, ``split_calls``: correct the count of lines where acknowledgements do not.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from rainpick import model
from rainpick.decisions.admission import AdmissionControl
from rainpick.decisions.binding import Binding
from rainpick.decisions.capacity import WarmCapacity
from rainpick.decisions.channel_progress import (
    AcknowledgementsMayBeLost,
    TransmissionResumed,
    TransmissionSuspended,
)
from rainpick.decisions.concentration import update_concentration
from rainpick.decisions.endpoint_list import EndpointList
from rainpick.decisions.fleet import Fleet
from rainpick.decisions.fleet_load import FleetLoad
from rainpick.decisions.key_ranges import KeyRanges
from rainpick.decisions.locality import Locality
from rainpick.decisions.outlier_detection import OutlierDetector
from rainpick.decisions.overload import OverloadProtection
from rainpick.decisions.proxy_membership import ProxyMembership
from rainpick.decisions.publisher import Publisher
from rainpick.decisions.retransmission import RetransmissionRequested, Retransmissions
from rainpick.decisions.send_queue import ChannelState
from rainpick.decisions.servers import ServerState
from rainpick.decisions.settings import TICK_US, UPDATE_INTERVAL_US, read_settings
from rainpick.decisions.single_owner_ranges import SingleOwnerRanges
from rainpick.decisions.slow_start import Conditions, SlowStart
from rainpick.decisions.split_calls import BindRejected, CallSplit, SplitCalls
from rainpick.decisions.table_assignment import TableAssignment
from rainpick.decisions.tables import Table
from rainpick.decisions.weight_updates import WeightUpdates
from rainpick.decisions.withdrawals import Withdrawals
from rainpick.decisions.zone_coverage import Coverage, ZoneCoverage

UPDATE_TIMER, SUBSCRIBE_TIMER, KEY_RANGE_TIMER = 0, 1, 2  # tokens of timers


class Director:
    """A director. Instances share no state; the event ``Started`` creates all components of an instance."""

    fleet: Fleet
    load: FleetLoad
    capacity: WarmCapacity
    slow_start: SlowStart
    outlier_detector: OutlierDetector
    overload: OverloadProtection
    locality: Locality
    assignment: TableAssignment
    zone_coverage: ZoneCoverage
    admission: AdmissionControl
    publisher: Publisher
    withdrawals: Withdrawals
    binding: Binding
    weight_updates: WeightUpdates
    retransmissions: Retransmissions
    split_calls: SplitCalls
    endpoint_list: EndpointList
    proxy_membership: ProxyMembership
    key_ranges: KeyRanges
    handlers: Mapping[type, Callable[[Any], None]]
    update_due: bool  # publish in this step instead of at the next update interval
    next_update_us: int
    next_tick_us: int

    def step(self, now: int, events: Sequence[Any]) -> list[Any]:
        """Process events at the time ``now`` in microseconds, and return the resulting commands."""
        commands: list[Any] = []
        if events and type(events[0]) is model.Started:
            commands += self.start(now, events[0])
        self.fleet.clock.advance(now)
        self.publisher.queue.advance(now)
        self.publisher.commands = commands
        for event in events:
            if handle := self.handlers.get(type(event)):
                handle(event)
        if now >= self.next_update_us:
            self.next_update_us = now + UPDATE_INTERVAL_US
            self.update_due = True
            commands.append(model.SetTimer(UPDATE_TIMER, UPDATE_INTERVAL_US))
        if self.load.has_new_reports:
            self.load.has_new_reports = False
            self.outlier_detector.detect()
            self.update_due = True
        self.retransmissions.publish()
        if now >= self.key_ranges.due_us:
            self.update_due = True
        if self.update_due:
            self.update_due = False
            self.publish()
        return commands

    def start(self, now: int, event: model.Started) -> list[model.Subscribe]:
        """Create all components with empty state; returns a subscription if the settings require one."""
        settings = read_settings(event.settings)
        self.fleet = fleet = Fleet(settings, now)
        self.load = FleetLoad(fleet)
        self.capacity = WarmCapacity(fleet)
        self.slow_start = SlowStart(fleet)
        self.overload = OverloadProtection(fleet)
        self.locality = Locality(fleet)
        self.assignment = TableAssignment(fleet, self.locality)
        self.zone_coverage = ZoneCoverage(fleet, self.assignment)
        self.outlier_detector = OutlierDetector(fleet, self.load, self.zone_coverage)
        self.admission = AdmissionControl(fleet, self.load, self.capacity)
        self.publisher = Publisher(fleet)
        self.withdrawals = Withdrawals(fleet, self.publisher)
        self.binding = Binding(fleet, self.assignment, self.withdrawals, self.publisher)
        self.weight_updates = WeightUpdates(fleet, self.assignment, self.publisher)
        self.retransmissions = Retransmissions(fleet, self.publisher)
        self.split_calls = SplitCalls(fleet, self.publisher)
        self.endpoint_list = EndpointList(fleet)
        self.proxy_membership = ProxyMembership(fleet, self.assignment, self.publisher.queue)
        has_single_owners = settings.uses_key_ranges and settings.key_range_single_owner
        self.key_ranges = (SingleOwnerRanges if has_single_owners else KeyRanges)(fleet, self.publisher)
        self.update_due = False
        self.next_update_us = self.next_tick_us = now
        self.handlers = self.event_handlers()
        return [model.Subscribe(True)] if settings.subscribe_on_request else []

    # Events

    def event_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each event type; events of other types are ignored."""
        return {
            model.EndpointUpdate: self.endpoints_updated,
            model.TimerFired: self.timer_fired,
            model.ProxyJoined: self.proxy_joined,
            model.ProxyLeft: self.proxy_left,
            model.Acknowledged: self.acknowledged,
            AcknowledgementsMayBeLost: lambda _: self.publisher.queue.progress.assume_losses(),
            TransmissionSuspended: lambda _: self.publisher.queue.progress.suspend(),
            TransmissionResumed: lambda _: self.publisher.queue.resume(),
            BindRejected: self.split_calls.bind_rejected,
            CallSplit: self.split_calls.split,
            RetransmissionRequested: self.retransmissions.requested,
            model.Retransmitted: self.retransmitted,
            model.ServerLoadReport: self.server_reported,
            model.RouteLoadReport: self.proxy_membership.reported,
            model.KeyRangeAssigned: self.key_range_assigned,
            model.KeyRangeWeight: self.key_ranges.stored,
        }

    def endpoints_updated(self, event: model.EndpointUpdate) -> None:
        """Apply an endpoint list update; after a failed one, schedule a new subscription."""
        self.update_due = True
        if event.kind == model.UpdateKind.FAILED:
            self.publisher.commands.append(model.SetTimer(SUBSCRIBE_TIMER, TICK_US))
        else:
            self.endpoint_list.apply(event)

    def timer_fired(self, event: model.TimerFired) -> None:
        """Subscribe again if the subscription timer fired.

        The update timer needs no handling here, because any event causes a step.
        """
        if event.token == SUBSCRIBE_TIMER:
            self.publisher.commands.append(model.Subscribe(True))

    def proxy_joined(self, event: model.ProxyJoined) -> None:
        """Add a proxy, which is unbound at first, and publish in this step."""
        self.proxy_membership.joined(event)
        self.key_ranges.proxy_joined(event)
        self.update_due = True

    def proxy_left(self, event: model.ProxyLeft) -> None:
        """Remove a proxy."""
        self.proxy_membership.left(event)
        self.key_ranges.proxy_left(event.proxy)

    def acknowledged(self, event: model.Acknowledged) -> None:
        """Record that a proxy has applied messages."""
        self.publisher.acknowledged(event)
        if event.proxy in self.fleet.proxies:
            self.key_ranges.acknowledged(event.proxy)

    def retransmitted(self, event: model.Retransmitted) -> None:
        """Count the lines and messages of a reply that an earlier version of the program sent again."""
        self.publisher.retransmitted(event.nonce)

    def server_reported(self, event: model.ServerLoadReport) -> None:
        """Record a load report on a server."""
        self.load.record(event, self.overload.settled_us)

    def key_range_assigned(self, event: model.KeyRangeAssigned) -> None:
        """Add a newly assigned key range, or remove one that is no longer assigned to this director."""
        self.update_due = True
        self.key_ranges.assigned(event)

    # Decisions

    def publish(self) -> None:
        """Compute the target state, and publish changes towards it as far as the channel has capacity."""
        if self.fleet.settings.uses_key_ranges:
            conditions = self.conditions()
            self.key_ranges.publish(lambda server: self.slow_start.advance(server, conditions))
            if self.key_ranges.due_us < self.next_update_us:
                delay_us = int(self.key_ranges.due_us) + 1 - self.fleet.clock.now
                self.publisher.commands.append(model.SetTimer(KEY_RANGE_TIMER, delay_us))
        else:
            self.update_tables()

    def update_tables(self) -> None:
        """Recompute the decisions, and publish changes of tables in the order of their priority.

        The order is: withdrawals, servers for empty tables, admission rates, binds, urgent weight changes,
        and the weight updates of the tick. Earlier changes may use up the capacity for later ones.
        """
        fleet, publisher, quotas = self.fleet, self.publisher, self.publisher.quotas
        publisher.begin()
        publisher.expire_messages()
        warm = self.warm_servers()
        self.readmit_if_all_are_ejected(warm)
        if not fleet.tables:
            self.assignment.create_tables()
        self.zone_coverage.update()
        self.zone_coverage.end_ejections(warm)
        if fleet.clock.now >= self.next_tick_us:
            self.tick()
        self.update_percentages(warm)
        self.locality.update(self.assignment.tables_by_zone)
        self.assignment.update()
        self.zone_coverage.assign()
        update_concentration(fleet, self.assignment)
        draining_tables = self.withdrawals.publish()
        binds_first = self.binding.has_priority()
        if not binds_first:
            self.withdrawals.publish_ejections()
        needed = self.zone_coverage.needed
        coverage, warm_coverage = Coverage(fleet.servers.values(), needed), Coverage(warm, needed)
        self.weight_updates.fill_empty_tables(coverage, quotas.rule)
        self.publish_admission(table for table in fleet.tables if not (binds_first and table.proxies))
        # Binds precede all commands that no rule requires, because an unbound proxy may still use a draining
        # server: a bind tells it of all ejections and admission rates in a single message.
        self.binding.publish()
        if binds_first and not self.binding.is_held_back:
            self.withdrawals.publish_ejections()
            self.publish_admission(fleet.tables)
        self.weight_updates.protect_warming_servers(warm, coverage, warm_coverage, draining_tables)
        # Weight updates need more available messages at each proxy than other commands do: when a zone
        # returns, the starts of its servers are discovered one after another, and their weights take several
        # messages.
        if not fleet.unbound_proxies():
            self.weight_updates.publish_batch(quotas.update)
        publisher.finish()

    def tick(self) -> None:
        """Run the decisions that are made once a tick."""
        self.endpoint_list.forget_gone()
        self.next_tick_us = self.fleet.clock.now + TICK_US
        self.weight_updates.schedule()
        self.outlier_detector.readmit()
        self.overload.update()
        self.admission.update()

    def warm_servers(self) -> dict[ServerState, None]:
        """Return the warm servers as an ordered set, in the order of the endpoint list."""
        fleet = self.fleet
        return {server: None for server in fleet.servers.values() if fleet.is_warm(server)}

    @staticmethod
    def readmit_if_all_are_ejected(warm: dict[ServerState, None]) -> None:
        """End the ejections of warm servers if all of them are ejected: any server is better than none."""
        if all(server.ejected_until_us for server in warm):
            for server in warm:
                server.ejected_until_us = 0

    def conditions(self) -> Conditions:
        """Return the fleet-wide values on which the servers' percentages depend in this step."""
        return Conditions(
            machine_type_factors=self.overload.machine_type_factors,
            success_ratio=self.load.success_ratio,
            latency_ratio=self.load.latency_ratio,
            warming_fraction=self.capacity.warming_fraction,
        )

    def update_percentages(self, warm: dict[ServerState, None]) -> None:
        """Set the percentage of each server and whether it is warm, and update the warm capacity in use."""
        self.capacity.update_fleet(warm)
        conditions = self.conditions()
        for server in self.fleet.servers.values():
            server.percentage = self.slow_start.advance(server, conditions)
            server.is_warm = server in warm
        self.capacity.update_tables()

    def publish_admission(self, tables: Iterable[Table]) -> None:
        """Publish the changed admission rates to each of these tables that is used.

        A table to which they cannot be sent for lack of capacity is tried again in later steps.
        """
        rates = self.admission.rates
        for table in tables:
            published = table.published_admission
            changed = [route for route in rates if published.get(route) != rates[route]]
            if not table.used or not changed:
                continue
            commands = [
                model.SetAdmission(table.number, 1 << route, rates[route], model.RetryPolicy.NO_RETRY)
                for route in changed
            ]
            if self.publisher.write(commands, [table], len(commands), self.publisher.quotas.admission):
                published.update(rates)

    # For logs, metrics and inspection

    @property
    def now(self) -> int:
        """The time of the last step, in microseconds."""
        return self.fleet.clock.now

    def channel(self) -> ChannelState:
        """Return the state of the paced channel."""
        return self.withdrawals.channel_state()
