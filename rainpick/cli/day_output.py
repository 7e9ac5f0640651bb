"""Progress output of a scripted day."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from rainpick.cli.terminal import print_rich
from rainpick.simulated_peers.scenario import Scenario

STATUS_INTERVAL_S = 5.0


def ignore_progress(second: float, event: str, states: Sequence[Mapping[str, Any] | None]) -> None:
    """Ignore the progress of a day, for the options ``--quiet`` and ``--json``."""


class DayProgress:
    """Prints each event of a day when it occurs, and the state of the directors every few seconds."""

    def __init__(self, scenario: Scenario):
        self.last_status_s = -STATUS_INTERVAL_S
        print_rich(
            f"{scenario.name}: {scenario.servers} servers in {len(scenario.zones)} zones, "
            f"{scenario.proxies} proxies, {scenario.calls_per_s:g} calls a second, "
            f"{scenario.length / 1e6:g} s"
        )

    def __call__(self, second: float, event: str, states: Sequence[Mapping[str, Any] | None]) -> None:
        """Print the event, or the states if ``event`` is empty.

        ``second`` is the time since the start of the day. ``states`` has the status of each director, None if
        it does not respond.
        """
        if event:
            print_rich(f"[bold]{second:6.1f} s  {event}[/bold]")
        elif second - self.last_status_s >= STATUS_INTERVAL_S:
            self.last_status_s = second
            descriptions = [_format_status(state) for state in states]
            print_rich(f"{second:6.1f} s  " + "; ".join(descriptions))


def _format_status(state: Mapping[str, Any] | None) -> str:
    """Format a director's status. A director whose decisions have not begun is shown as not responding."""
    if not state or "channel" not in state:
        return "no director answers"
    ready = sum(server["state"] == "ready" for server in state["servers"])
    return (
        f"{ready} servers ready, {state['streams']['open']} streams, "
        f"{state['engine']['messages']} messages, {state['channel']['lines']} lines wait"
    )
