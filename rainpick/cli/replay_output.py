"""Replays of recorded days: where the commands differ, and what that means for callers."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

import click
from rich.table import Table

from rainpick.cli.terminal import print_rich
from rainpick.record.compare import ComparisonResult
from rainpick.record.limits import LimitApproach
from rainpick.record.replay import Difference, ReplayResult
from rainpick.record.schema import describe

SHOWN_ROWS = 8  # events and commands of the first difference, of each kind


def print_replays(replays: list[ReplayResult], as_json: bool) -> None:
    """Print what would have been decided differently, in text or as one line of JSON."""
    if as_json:
        click.echo(json.dumps([_replay_json(played) for played in replays]))
        return
    for played in replays:
        _print_replay(played)


def _replay_json(played: ReplayResult) -> dict[str, Any]:
    """One session as ``--json`` prints it; what was compared only if the session could be compared."""
    report = {
        "director": played.incarnation.director,
        "epoch": played.incarnation.epoch,
        "steps": played.steps,
        "orders": played.commands,
        "differing": played.differing,
        "hole": played.missing.reason if played.missing else None,
        "first": _difference_json(played.first_difference, played.incarnation.now)
        if played.first_difference
        else None,
    }
    if played.comparison:
        report |= _comparison_json(played.comparison, played.incarnation.now)
    return report


def _difference_json(difference: Difference, begin_us: int) -> dict[str, Any]:
    """The first step whose commands differ. ``begin_us``: the begin of the session."""
    return {"second": (difference.now - begin_us) / 1e6, **_difference_rows(difference)}


def _difference_rows(difference: Difference) -> dict[str, list[str]]:
    """The events and commands around the difference, by the name they have in the output."""
    rows: dict[str, Sequence[object]] = {
        "heard_before": difference.events_before,
        "heard": difference.events,
        "no_longer": difference.recorded,
        "instead": difference.replayed,
    }
    return {name: [describe(row) for row in group[:SHOWN_ROWS]] for name, group in rows.items()}


def _comparison_json(compared: ComparisonResult, begin_us: int) -> dict[str, Any]:
    """The comparison in terms of callers; pairs are recorded and replayed."""
    return {
        "counts": compared.counts,
        "throttled_s": compared.throttled_s,
        "tells_until_s": compared.valid_until_s,
        "parted": compared.diverted,
        "moved": [
            {"server": row.server, "recorded": row.recorded, "replayed": row.replayed}
            for row in compared.share_changes
        ],
        "nearest": {
            name: [_nearest_json(nearest, begin_us) for nearest in pair]
            for name, pair in compared.approaches.items()
        },
    }


def _nearest_json(nearest: LimitApproach | None, begin_us: int) -> dict[str, Any] | None:
    """The nearest approach to a limit, None if the limit was never near."""
    if nearest is None:
        return None
    return {"part": nearest.fraction, "second": (nearest.at_us - begin_us) / 1e6, "who": nearest.subject}


def _print_replay(played: ReplayResult) -> None:
    """Print one session: whether its commands differ, where first, and the comparison."""
    verdict = "[green]the same[/green]"
    if played.differing:
        verdict = f"[red]{played.differing} steps differ[/red]"
    end = f"; not to the end: {played.missing.reason}" if played.missing else ""
    print_rich(
        f"director {played.incarnation.director}, {played.incarnation.epoch}: {played.steps} steps, "
        f"{played.commands} orders, {verdict}{end}"
    )
    if not played.first_difference:
        return
    _print_difference(played.first_difference, played.incarnation.now)
    if played.comparison is not None:
        _print_comparison(played.comparison, played.incarnation.now)


def _print_difference(difference: Difference, begin_us: int) -> None:
    print_rich(f"first at {(difference.now - begin_us) / 1e6:.2f} s")
    for name, rows in _difference_rows(difference).items():
        for row in rows:
            print_rich(f"  {name.replace('_', ' ')}: {row}", soft_wrap=True, markup=False)


def _print_comparison(compared: ComparisonResult, begin_us: int) -> None:
    validity = "the recorded reports tell of both to the end"
    if compared.valid_until_s is not None:
        validity = (
            f"[red]from {compared.valid_until_s:.0f} s on the recorded reports answer other decisions "
            "too much to tell how the day would have gone[/red]"
        )
    print_rich(f"in the mean {compared.diverted:.1%} of the calls go to other servers; {validity}")
    print_rich(_counts_table(compared, begin_us))
    table = Table("server", "share of calls recorded", "replayed", title="whose share moves most")
    for row in compared.share_changes:
        table.add_row(row.server, f"{row.recorded:.4f}", f"{row.replayed:.4f}")
    print_rich(table)


def _counts_table(compared: ComparisonResult, begin_us: int) -> Table:
    """Counts, throttled time and nearest approaches to limits, recorded beside replayed."""
    table = Table("", "recorded", "replayed")
    for name, (recorded, replayed) in compared.counts.items():
        table.add_row(name, str(recorded), str(replayed))
    table.add_row("seconds throttled", *(f"{seconds:.1f}" for seconds in compared.throttled_s))
    for name, pair in compared.approaches.items():
        table.add_row(f"nearest: {name}", *(_describe_nearest(nearest, begin_us) for nearest in pair))
    return table


def _describe_nearest(nearest: LimitApproach | None, begin_us: int) -> str:
    if nearest is None:
        return "-"
    return f"{nearest.fraction:.0%} ({nearest.subject}, {(nearest.at_us - begin_us) / 1e6:.1f} s)"
