"""Output of the verdict on a day: service, published weights over time, and the five rules."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import asdict
from pathlib import Path
from typing import Any, NamedTuple

from rich.table import Table

from rainpick.cli.terminal import print_rich
from rainpick.rules import Rule, Verdict, read_logs
from rainpick.sasp.constants import CONTACT

BARS = " ▁▂▃▄▅▆▇█"
CHART_SERVERS = 6
CHART_COLUMNS = 48
SHOWN_BREACHES = 5  # number of breaches shown for each rule


class WeightSample(NamedTuple):
    """The weight of a server from the time ``at_us`` of the logs on."""

    at_us: int
    weight: int


def verdict_json(verdict: Verdict, goal: float, good: bool) -> dict[str, Any]:
    """Return the output of ``--json`` for a verdict."""
    return {
        "good": good,
        "service": verdict.service_ratio(),
        "goal": goal,
        "routes": {
            name: {
                "asked": route["asked"],
                "answered_in_time": route["good"],
                "median_ms": _percentile(route["took"], 0.5) / 1e3,
                "p99_ms": _percentile(route["took"], 0.99) / 1e3,
            }
            for name, route in verdict.service.items()
        },
        "rules": [_rule_json(rule) for rule in verdict.rules],
        "repeats": verdict.retries,
    }


def print_verdict(verdict: Verdict, log_folder: Path, goal: float, good: bool) -> None:
    """Print the verdict. ``goal`` is the required service ratio, from 0 to 1."""
    print_rich(_service_table(verdict))
    print_rich(_weights_table(_weight_histories(log_folder), verdict.span))
    print_rich(_rules_table(verdict.rules))
    _print_breaches(verdict)
    if verdict.retries:
        repeats = ", ".join(f"{count} {name}" for name, count in verdict.retries.items())
        print_rich("repeats: " + repeats)
    outcome = "[green]good[/green]" if good else "[red]not good[/red]"
    print_rich(f"service {verdict.service_ratio():.4f}, goal {goal:g}; {outcome}; logs in {log_folder}")


def _rule_json(rule: Rule) -> dict[str, Any]:
    return {
        "name": rule.name,
        "checked": rule.checked,
        "breaches": len(rule.breaches),
        "nearest": rule.highest_ratio,
        "nearest_who": rule.highest_subject,
        "first": asdict(rule.breaches[0]) if rule.breaches else None,
    }


def _percentile(values: list[int], fraction: float) -> float:
    """Return the value below which ``fraction`` of the values lie; 0 if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def _service_table(verdict: Verdict) -> Table:
    table = Table("route", "asked", "in SLO time", "share", "median", "99%", title="service")
    for name, route in verdict.service.items():
        share = route["good"] / route["asked"] if route["asked"] else 0.0
        table.add_row(
            name,
            str(route["asked"]),
            str(route["good"]),
            f"{share:.4f}",
            f"{_percentile(route['took'], 0.5) / 1e3:.0f} ms",
            f"{_percentile(route['took'], 0.99) / 1e3:.0f} ms",
        )
    return table


def _rules_table(rules: list[Rule]) -> Table:
    table = Table("rule", "checked", "nearest to the limit", "breaches", title="the five rules")
    for rule in rules:
        nearest = f"{rule.highest_ratio:.0%} ({rule.highest_subject})" if rule.highest_subject else "-"
        table.add_row(rule.name, str(rule.checked), nearest, str(len(rule.breaches)))
    return table


def _print_breaches(verdict: Verdict) -> None:
    """Print the first breaches of each rule, with seconds since the start of the day."""
    for rule in verdict.rules:
        for breach in rule.breaches[:SHOWN_BREACHES]:
            second = (breach.at - verdict.span[0]) / 1e6
            print_rich(f"[red]{rule.name}: {second:.2f} s, {breach.who}: {breach.what}[/red]")


def _weight_histories(log_folder: Path) -> dict[str, list[WeightSample]]:
    """Return the history of each server's weight, a mean over the proxies that have it in their table."""
    histories: dict[str, list[WeightSample]] = defaultdict(list)
    weights_by_server: dict[str, dict[str, int]] = defaultdict(dict)  # weights at each proxy, by server
    for event in read_logs(log_folder):
        if event["k"] != "weights":
            continue
        for server, weight, flags in event["m"]:
            weights = weights_by_server[server]
            if weight or flags & CONTACT:
                weights[event["p"]] = weight
            else:
                weights.pop(event["p"], None)
            mean = sum(weights.values()) // max(1, len(weights))
            histories[server].append(WeightSample(event["t"], mean))
    return histories


def _weights_table(histories: dict[str, list[WeightSample]], span_us: tuple[int, int]) -> Table:
    """Return a table with a chart for each of the servers with the most distinct weights."""
    highest = max((sample.weight for history in histories.values() for sample in history), default=0)
    distinct = {server: len({sample.weight for sample in history}) for server, history in histories.items()}
    most_changed = sorted(histories, key=lambda server: -distinct[server])[:CHART_SERVERS]
    table = Table("server", "last", title="advice over the day (mean over proxies that have the server)")
    table.add_column("from begin to end", no_wrap=True)
    for server in sorted(most_changed):
        weights = _weights_by_column(histories[server], span_us)
        table.add_row(
            server, str(weights[-1]), "".join(_bar_character(weight, highest) for weight in weights)
        )
    return table


def _weights_by_column(history: list[WeightSample], span_us: tuple[int, int]) -> list[int]:
    """Return the weight at the end of each column of the chart; 0 before the first sample."""
    begin_us, end_us = span_us
    weights, weight, index = [], 0, 0
    for column in range(CHART_COLUMNS):
        until_us = begin_us + (end_us - begin_us) * (column + 1) // CHART_COLUMNS
        while index < len(history) and history[index].at_us <= until_us:
            weight = history[index].weight
            index += 1
        weights.append(weight)
    return weights


def _bar_character(weight: int, highest: int) -> str:
    """Return the bar of a weight. Rounding up makes every weight above 0 visible."""
    if not highest:
        return " "
    rounded_up = -(-(len(BARS) - 1) * weight // highest)
    return BARS[min(len(BARS) - 1, rounded_up)]
