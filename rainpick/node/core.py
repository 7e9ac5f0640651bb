"""The core: the one thread that steps the module. All else hands it events through the mailbox."""

from __future__ import annotations

import time
from collections.abc import Callable

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.decisions.send_queue import ChannelState
from rainpick.director.stepper import Stepper
from rainpick.node.clock import Clock
from rainpick.node.commit_calls import CommitCall, MergedNonces, UnconfirmedCall, commit_call
from rainpick.node.configuration import Configuration
from rainpick.node.endpoint_discovery import DiscoveryAnswer
from rainpick.node.endpoint_list import EndpointList
from rainpick.node.log import log
from rainpick.node.mailbox import Mailbox
from rainpick.node.proxy_membership import ProxyMembership

IDLE_S = 1.0
STATUS_US = 10_000_000
CHANNEL_US = 1_000_000  # how often the channel is looked at
NEAR_GRACE = 0.8  # of the grace: what is still due then is told in the log


def rounded(channel: ChannelState) -> dict:
    """The channel's figures as the log writes them."""
    return {name: round(value, 3) for name, value in channel._asdict().items()}


class Core:
    """``send`` is handed the calls of each step."""

    def __init__(
        self,
        told: Configuration,
        known: DiscoveryAnswer,
        mailbox: Mailbox,
        send: Callable[[CommitCall], None],
        module: Callable[[], Director] = Director,
    ):
        self.mailbox, self.send, self.clock = mailbox, send, Clock()
        self.round_us = told.settings.get("round_us", 1_000)
        self.stepper = Stepper(told.seed, told.settings, module)
        self.endpoints, self.membership = EndpointList(self.clock), ProxyMembership()
        self.stepper.events.append(self.endpoints.apply(known, model.UpdateKind.CACHED))
        self.stepped_us = self.unknown = 0
        self.status_us = self.clock() + STATUS_US
        self.channel_us, self.channel = 0, None
        self.most = {"waiting": 0, "backlog": 0, "unbound": 0, "grace_used": 0.0}  # since the last status
        self.status: Callable[[], dict] = dict

    def run(self) -> None:
        self.step(self.clock())
        while True:
            due_us, now = self.stepper.due_us(), self.clock()
            wait_s = IDLE_S if due_us is None else min(IDLE_S, max(0, due_us - now) / 1e6)
            self.turn(*self.mailbox.take(wait_s))

    def turn(self, news: list, reports: list) -> None:
        """Hear what came, and step if anything did or a timer is due."""
        if (step_us := self.clock.look()) is not None:
            log.warning("wall clock stepped", by_s=round(step_us / 1e6, 3), steps=self.clock.steps)
        for item in news:
            self.hear(item)
        for report in reports:
            if type(report) is model.ServerLoadReport and not self.endpoints.knows(report.server):
                self.unknown += 1
            else:
                self.stepper.events.append(report)
        now = self.clock()
        self.stepper.ring(now)
        if self.stepper.events:
            self.step(now)
        if now >= self.channel_us:
            self.channel_us = now + CHANNEL_US
            self.observe(self.stepper.director.channel())
        if now >= self.status_us:
            self.status_us = now + STATUS_US
            log.info("status", **self.figures())
            self.most = dict.fromkeys(self.most, 0)
        # Steps come a round apart at least, as in the simulator: what came since is one batch.
        pause_us = self.stepped_us + self.round_us - self.clock()
        if pause_us > 0:
            time.sleep(pause_us / 1e6)

    def observe(self, channel: ChannelState) -> None:
        """Log a takeover's begin and end, and what comes near its deadline; keep the peaks."""
        before, self.channel = self.channel, channel
        for name in self.most:
            self.most[name] = max(self.most[name], getattr(channel, name))
        if channel.takeover != (before is not None and before.takeover):
            log.info("takeover begins" if channel.takeover else "takeover ends", **rounded(channel))
        if channel.grace_used > NEAR_GRACE:
            log.warning("drains or binds near their grace", **rounded(channel))

    def hear(self, item: object) -> None:
        kind = type(item)
        if kind is DiscoveryAnswer:
            self.stepper.events.append(self.endpoints.apply(item))
        elif kind is MergedNonces:
            self.membership.merge_nonces(item)
        elif kind is UnconfirmedCall:
            self.stepper.events += [model.Retransmitted(mark) for mark in self.membership.nonces(item.nonce)]
        else:
            self.stepper.events += self.membership.handle(item)

    def step(self, now: int) -> None:
        self.stepped_us = now
        orders = self.stepper.step(now)
        for order in orders:
            if type(order) is model.LogMessage:
                log.info("note", text=order.text)
        # The list is followed anyway, whether the module subscribes or not.
        spoken = (model.LogMessage, model.Subscribe, model.FetchEndpoints)
        said = commit_call([order for order in orders if type(order) not in spoken])
        if said is not None:
            self.send(said)

    def figures(self) -> dict:
        """What the director believes and did, for the log."""
        stepper, endpoints = self.stepper, self.endpoints
        return {
            "joined": len(self.membership.joined),
            "servers": len(endpoints.entries),
            "version": endpoints.version,
            "steps": stepper.steps,
            "events": stepper.heard,
            "orders": stepper.ordered,
            "shed": self.mailbox.shed,
            "unknown": self.unknown,
            "cpu_s": round(time.process_time(), 2),
            "channel": rounded(self.stepper.director.channel()),
            "channel_most": {name: round(most, 3) for name, most in self.most.items()},
            **self.status(),
        }
