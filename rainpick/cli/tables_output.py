"""Output of the list of tables."""

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
            _format_pin(summary["pinned"]),
        )
    print_rich(rows)


def _format_pin(pin: Pin | None) -> str:
    """Format the version, the operator and the reason of a pin."""
    return f"content of {pin['version']}, {pin['who']}: {pin['why']}" if pin else ""
