"""Disruptions of a live director and its relay, drawn from a seed; each ends by itself."""

from __future__ import annotations

import random
import signal
import socket
import time
from dataclasses import dataclass

from tests.node.paced_director import PacedDirector
from tests.waiting import wait_until

# How long the limits on drains wait, by the protocol page: after a start, when the relay breaks a call, when
# it does not answer one, and when it breaks off the only stream of notifications.
START_ALLOWANCE_S = 1.0
BROKEN_CALL_ALLOWANCE_S = 0.5
UNANSWERED_CALL_ALLOWANCE_S = 1.5
STREAM_ALLOWANCE_S = 4.0
KILL_DELAY_S = 0.7  # the earliest time from SIGTERM to SIGKILL
RESTART_DELAY_S = 0.3
STOP_S = 0.6
SPELL_S = 0.6
LEAVING_FRACTION = 0.15
CROWD = 60


@dataclass(frozen=True)
class Disruption:
    """One disruption, and how much longer a drain may take because of it."""

    name: str
    allowance_s: float


DISRUPTIONS = (
    Disruption("kill", START_ALLOWANCE_S),
    Disruption("terminate", START_ALLOWANCE_S),
    Disruption("stop", STOP_S),
    Disruption("reload", 0.0),
    Disruption("mute_notifications", STREAM_ALLOWANCE_S),
    Disruption("reset_connections", STREAM_ALLOWANCE_S + BROKEN_CALL_ALLOWANCE_S),
    Disruption("execute_without_answer", UNANSWERED_CALL_ALLOWANCE_S),
    Disruption("lose_calls", UNANSWERED_CALL_ALLOWANCE_S),
    Disruption("move_proxies", 0.0),
    Disruption("crowd", 0.0),
)


class Disrupter:
    """Applies disruptions to a director with these proxies."""

    def __init__(self, director: PacedDirector, proxies: int, draw: random.Random):
        self.director, self.draw = director, draw
        self.proxies = range(proxies)  # those that are joined to the director
        self.strangers: list[socket.socket] = []

    def apply(self, disruption: Disruption) -> None:
        """Apply a disruption and return when it has ended."""
        getattr(self, disruption.name)()

    def start_again(self) -> None:
        """Start the director again; all proxies join it."""
        self.director.relay.restart()
        time.sleep(RESTART_DELAY_S)
        for proxy in self.proxies:
            self.director.relay.join_proxy(proxy)
        self.director.process = self.director.start()
        wait_until(self.director.responds_to_heartbeat, "a heartbeat")

    def kill(self) -> None:
        self.director.process.kill()
        self.director.process.wait()
        self.start_again()

    def terminate(self) -> None:
        """Send SIGTERM, another one, SIGHUP, and SIGKILL as early as the platform does."""
        process = self.director.process
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
            process.send_signal(number)
        time.sleep(KILL_DELAY_S)
        assert process.poll() == 0
        self.start_again()

    def stop(self) -> None:
        self.director.process.send_signal(signal.SIGSTOP)
        time.sleep(STOP_S)
        self.director.process.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        for _ in range(3):
            self.director.process.send_signal(signal.SIGHUP)

    def mute_notifications(self) -> None:
        self.director.relay.mute_subscribers()

    def reset_connections(self) -> None:
        self.director.relay.drop_connections()

    def spell(self, response: str) -> None:
        """Answer no call in the ordinary way for a while."""
        relay = self.director.relay
        ordinary = relay.default_response
        relay.default_response = lambda commands: response
        time.sleep(SPELL_S)
        relay.default_response = ordinary

    def execute_without_answer(self) -> None:
        self.spell(self.draw.choice(("no answer, closed", "no answer, silent", "invalid answer")))

    def lose_calls(self) -> None:
        self.spell(self.draw.choice(("not read, closed", "not read, silent")))

    def move_proxies(self) -> None:
        """Let proxies leave unseen, and join again after a moment."""
        relay = self.director.relay
        moving = self.draw.sample(self.proxies, int(LEAVING_FRACTION * len(self.proxies)))
        for proxy in moving:
            relay.leave_proxy(proxy)
        time.sleep(self.draw.random() * SPELL_S)
        for proxy in moving:
            relay.announce_leave(proxy)
            relay.join_proxy(proxy)

    def crowd(self) -> None:
        """Connect strangers that send nothing, or half a message."""
        for number in range(CROWD):
            stranger = socket.create_connection(self.director.listen)
            if number % 2:
                stranger.sendall(b"\x40\x00")
            self.strangers.append(stranger)

    def close(self) -> None:
        for stranger in self.strangers:
            stranger.close()
