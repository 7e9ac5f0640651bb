"""Output of replays: where the commands differ, and the effect of the differences on requests."""

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

SHOWN_ROWS = 8  # number of events or commands in each group of the first difference


def print_replays(results: list[ReplayResult], as_json: bool) -> None:
    """Print the differences of replays from their records, as text or as one line of JSON."""
    if as_json:
        click.echo(json.dumps([_replay_json(result) for result in results]))
        return
    for result in results:
        _print_replay(result)


def _replay_json(result: ReplayResult) -> dict[str, Any]:
    """Return the output of ``--json`` for an incarnation; it includes the comparison if there is one."""
    report = {
        "director": result.incarnation.director,
        "epoch": result.incarnation.epoch,
        "steps": result.steps,
        "orders": result.commands,
        "differing": result.differing,
        "hole": result.missing.reason if result.missing else None,
        "first": _difference_json(result.first_difference, result.incarnation.now)
        if result.first_difference
        else None,
    }
    if result.comparison:
        report |= _comparison_json(result.comparison, result.incarnation.now)
    return report


def _difference_json(difference: Difference, begin_us: int) -> dict[str, Any]:
    """Return the output of ``--json`` for a difference. ``begin_us`` is the start of the incarnation."""
    return {"second": (difference.now - begin_us) / 1e6, **_difference_rows(difference)}


def _difference_rows(difference: Difference) -> dict[str, list[str]]:
    """Return the formatted events and commands of a difference, by the name of their group in the output."""
    rows: dict[str, Sequence[object]] = {
        "heard_before": difference.events_before,
        "heard": difference.events,
        "no_longer": difference.recorded,
        "instead": difference.replayed,
    }
    return {name: [describe(row) for row in group[:SHOWN_ROWS]] for name, group in rows.items()}


def _comparison_json(comparison: ComparisonResult, begin_us: int) -> dict[str, Any]:
    """Return the output of ``--json`` for a comparison; pairs are (recorded, replayed)."""
    return {
        "counts": comparison.counts,
        "throttled_s": comparison.throttled_s,
        "tells_until_s": comparison.valid_until_s,
        "parted": comparison.diverted,
        "moved": [
            {"server": row.server, "recorded": row.recorded, "replayed": row.replayed}
            for row in comparison.share_changes
        ],
        "nearest": {
            name: [_approach_json(approach, begin_us) for approach in pair]
            for name, pair in comparison.approaches.items()
        },
    }


def _approach_json(approach: LimitApproach | None, begin_us: int) -> dict[str, Any] | None:
    """Return the output of ``--json`` for the closest approach to a limit; None if there is none."""
    if approach is None:
        return None
    return {"part": approach.fraction, "second": (approach.at_us - begin_us) / 1e6, "who": approach.subject}


def _print_replay(result: ReplayResult) -> None:
    """Print the result of an incarnation: whether commands differ, the first difference, the comparison."""
    verdict = "[green]the same[/green]"
    if result.differing:
        verdict = f"[red]{result.differing} steps differ[/red]"
    end = f"; not to the end: {result.missing.reason}" if result.missing else ""
    print_rich(
        f"director {result.incarnation.director}, {result.incarnation.epoch}: {result.steps} steps, "
        f"{result.commands} orders, {verdict}{end}"
    )
    if not result.first_difference:
        return
    _print_difference(result.first_difference, result.incarnation.now)
    if result.comparison is not None:
        _print_comparison(result.comparison, result.incarnation.now)


def _print_difference(difference: Difference, begin_us: int) -> None:
    print_rich(f"first at {(difference.now - begin_us) / 1e6:.2f} s")
    for name, rows in _difference_rows(difference).items():
        for row in rows:
            print_rich(f"  {name.replace('_', ' ')}: {row}", soft_wrap=True, markup=False)


def _print_comparison(comparison: ComparisonResult, begin_us: int) -> None:
    validity = "the recorded reports tell of both to the end"
    if comparison.valid_until_s is not None:
        validity = (
            f"[red]from {comparison.valid_until_s:.0f} s on the recorded reports answer other decisions "
            "too much to tell how the day would have gone[/red]"
        )
    print_rich(f"in the mean {comparison.diverted:.1%} of the calls go to other servers; {validity}")
    print_rich(_counts_table(comparison, begin_us))
    table = Table("server", "share of calls recorded", "replayed", title="whose share moves most")
    for row in comparison.share_changes:
        table.add_row(row.server, f"{row.recorded:.4f}", f"{row.replayed:.4f}")
    print_rich(table)


def _counts_table(comparison: ComparisonResult, begin_us: int) -> Table:
    """Return a table of counts, throttled time and closest approaches to limits, recorded and replayed."""
    table = Table("", "recorded", "replayed")
    for name, (recorded, replayed) in comparison.counts.items():
        table.add_row(name, str(recorded), str(replayed))
    table.add_row("seconds throttled", *(f"{seconds:.1f}" for seconds in comparison.throttled_s))
    for name, pair in comparison.approaches.items():
        table.add_row(f"nearest: {name}", *(_format_approach(approach, begin_us) for approach in pair))
    return table


def _format_approach(approach: LimitApproach | None, begin_us: int) -> str:
    if approach is None:
        return "-"
    return f"{approach.fraction:.0%} ({approach.subject}, {(approach.at_us - begin_us) / 1e6:.1f} s)"
