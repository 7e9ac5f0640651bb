"""The list of tables on the terminal."""

from __future__ import annotations

from rich.table import Table

from rainpick.cli.status_front import Pin, TableSummary
from rainpick.cli.terminal import print_rich


def print_tables(summaries: list[TableSummary]) -> None:
    """Print a row for each table."""
    rows = Table("table", "version", "digest", "lines", "open", "proxies", "kept", "pinned")
    for summary in summaries:
        versions = summary["kept"]
        rows.add_row(
            str(summary["table"]),
            str(summary["version"]),
            str(summary["digest"]),
            str(summary["lines"]),
            str(summary["open"]),
            str(summary["proxies"]),
            f"{versions[0]} to {versions[-1]}" if versions else "-",
            _describe_pin(summary["pinned"]),
        )
    print_rich(rows)


def _describe_pin(pin: Pin | None) -> str:
    """What the table is pinned to, by whom and why."""
    return f"content of {pin['version']}, {pin['who']}: {pin['why']}" if pin else ""
