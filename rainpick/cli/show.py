"""What people read: tables on the terminal."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from rainpick.rules import Verdict, read_logs
from rainpick.sasp import codec
from rainpick.sasp.codec import Group
from rainpick.standins.sasp_client import SaspClient

console = Console(highlight=False)
BARS = " ▁▂▃▄▅▆▇█"


def status(found: dict[str, Any]) -> None:
    console.print(f"director {found['director']}: {found['phase']}, up {found['up_s']:.0f} s, "
                  f"{found['threads']} threads, {found['streams']['open']} streams")
    if "channel" not in found:
        return
    channel, reports = found["channel"], found["reports"]
    console.print(f"channel: {channel['lines']} lines wait, {channel['lines_most']} at most so far, "
                  f"{channel['limit']} may; {channel['blocked']} proxies take nothing by themselves")
    console.print("reports: " + ", ".join(f"{many} {name}" for name, many in reports.items()))
    table = Table("server", "state", "listed", "zone", "machine", "pod", "age", "advice by table")
    for server in found["servers"]:
        advice = " ".join(f"{name}:{weight}" for name, weight in sorted(server["tables"].items()))
        age = "" if server["age_s"] is None else f"{server['age_s']:.0f} s"
        state = server["state"] + (" (withdrawn)" if server["withdrawn"] else "")
        table.add_row(server["address"], state, f"{server['weight']:g}", server["zone"], server["machine"],
                      str(server["pod"]), age, advice)
    console.print(table)
    table = Table("proxy", "number", "table", "calls a second", "how", "peer")
    for proxy in found["proxies"]:
        how = ("push" if proxy["push"] else "asks") + (", takes nothing" if proxy["blocked"] else "")
        place = "standing" if proxy["table"] is None else str(proxy["table"])
        table.add_row(proxy["uid"], str(proxy["number"]), place, f"{proxy['rate']:g}", how, proxy["peer"])
    console.print(table)


def tables(rows: list[dict[str, Any]]) -> None:
    table = Table("table", "version", "digest", "lines", "open", "proxies", "kept", "pinned")
    for row in rows:
        kept = f"{row['kept'][0]} to {row['kept'][-1]}" if row["kept"] else "-"
        pin = row["pinned"]
        held = f"content of {pin['version']}, {pin['who']}: {pin['why']}" if pin else ""
        names = "table", "version", "digest", "lines", "open", "proxies"
        table.add_row(*(str(row[name]) for name in names), kept, held)
    console.print(table)


def flags(value: int) -> str:
    names = {codec.CONTACT: "contact", codec.QUIESCE: "quiesce", codec.CONFIDENT: "confident",
             codec.SELF_REGISTERED: "self-registered"}
    return " ".join(name for flag, name in names.items() if value & flag) or "-"


def weights(place: tuple[str, int], uid: str, group: str, follow: bool, as_json: bool) -> None:
    """Join as a load balancer, print the advice, leave again."""
    client = SaspClient(place)
    try:
        asked = codec.TRUST | (codec.PUSH | codec.NO_CHANGE if follow else 0)
        mine = Group(uid, group)
        for message in (codec.SetLbState(uid, flags=asked), codec.Registration((codec.Members(mine),), True)):
            reply = client.ask(message)
            if reply.code != codec.SUCCESS:
                raise ConnectionAbortedError(f"{type(message).__name__} is refused: {reply.code:#04x}")
        if not follow:
            reply = client.ask(codec.GetWeights((mine,)))
            show_weights(reply.groups, as_json)
            return
        while True:
            for message in client.weights(3600):
                show_weights(message.groups, as_json)
    except KeyboardInterrupt:
        return
    finally:
        client.close()


def show_weights(groups: tuple[codec.Weights, ...], as_json: bool) -> None:
    rows = [(*entry.member.key(), entry.weight, entry.flags) for group in groups for entry in group.entries]
    if as_json:
        click.echo(json.dumps([{"server": f"{host}:{port}", "weight": weight, "flags": flags(bits).split()}
                               for host, port, weight, bits in rows]))
        return
    for host, port, weight, bits in rows:
        click.echo(f"{host}:{port:<6} {weight:>6}  {flags(bits)}")


def progress(scenario, quiet: bool) -> Callable[[float, str, list], None]:
    """Says what happens as a day is played."""
    if quiet:
        return lambda *_: None
    console.print(f"{scenario.name}: {scenario.servers} servers in {len(scenario.zones)} zones, "
                  f"{scenario.proxies} proxies, {scenario.calls_per_s:g} calls a second, "
                  f"{scenario.length / 1e6:g} s")
    last = [-5.0]

    def say(second: float, text: str, looks: list) -> None:
        if text:
            console.print(f"[bold]{second:6.1f} s  {text}[/bold]")
        elif second - last[0] >= 5:
            last[0] = second
            parts = []
            for look in looks:
                if look and "channel" in look:
                    ready = sum(server["state"] == "ready" for server in look["servers"])
                    waiting, messages = look["channel"]["lines"], look["engine"]["messages"]
                    parts.append(f"{ready} servers ready, {look['streams']['open']} streams, "
                                 f"{messages} messages, {waiting} lines wait")
                else:
                    parts.append("no director answers")
            console.print(f"{second:6.1f} s  " + "; ".join(parts))
    return say


def percentile(values: list[int], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def verdict_json(verdict: Verdict, goal: float, good: bool) -> dict[str, Any]:
    return {
        "good": good, "service": verdict.share(), "goal": goal,
        "routes": {name: {"asked": row["asked"], "answered_in_time": row["good"],
                          "median_ms": percentile(row["took"], 0.5) / 1e3,
                          "p99_ms": percentile(row["took"], 0.99) / 1e3}
                   for name, row in verdict.service.items()},
        "rules": [{"name": rule.name, "checked": rule.checked, "breaches": len(rule.breaches),
                   "nearest": rule.nearest, "nearest_who": rule.nearest_who,
                   "first": vars(rule.breaches[0]) if rule.breaches else None} for rule in verdict.rules],
        "repeats": verdict.repeats,
    }


def verdict(found: Verdict, folder: Path, goal: float, good: bool) -> None:
    """Service, advice over time, the five rules."""
    table = Table("route", "asked", "in SLO time", "share", "median", "99%", title="service")
    for name, row in found.service.items():
        share = row["good"] / row["asked"] if row["asked"] else 0.0
        table.add_row(name, str(row["asked"]), str(row["good"]), f"{share:.4f}",
                      f"{percentile(row['took'], 0.5) / 1e3:.0f} ms",
                      f"{percentile(row['took'], 0.99) / 1e3:.0f} ms")
    console.print(table)
    advice(folder, found.span)
    table = Table("rule", "checked", "nearest to the limit", "breaches", title="the five rules")
    for rule in found.rules:
        nearest = f"{rule.nearest:.0%} ({rule.nearest_who})" if rule.nearest_who else "-"
        table.add_row(rule.name, str(rule.checked), nearest, str(len(rule.breaches)))
    console.print(table)
    for rule in found.rules:
        for breach in rule.breaches[:5]:
            second = (breach.at - found.span[0]) / 1e6
            console.print(f"[red]{rule.name}: {second:.2f} s, {breach.who}: {breach.what}[/red]")
    if found.repeats:
        console.print("repeats: " + ", ".join(f"{many} {name}" for name, many in found.repeats.items()))
    console.print(f"service {found.share():.4f}, goal {goal:g}; "
                  + ("[green]good[/green]" if good else "[red]not good[/red]") + f"; logs in {folder}")


def advice(folder: Path, span: tuple[int, int], many: int = 6, columns: int = 48) -> None:
    """The weights that proxies hold over time, for the servers whose weight moved most.

    A server stands in some tables only: the mean is over the proxies that have it in theirs.
    """
    moments: dict[str, list[tuple[int, int]]] = defaultdict(list)
    held: dict[str, dict[str, int]] = defaultdict(dict)
    for event in read_logs(folder):
        if event["k"] == "weights":
            for server, weight, flag in event["m"]:
                if weight or flag & codec.CONTACT:
                    held[server][event["p"]] = weight
                else:
                    held[server].pop(event["p"], None)
                mean = sum(held[server].values()) // max(1, len(held[server]))
                moments[server].append((event["t"], mean))
    top = max((weight for rows in moments.values() for _, weight in rows), default=0)
    moved = sorted(moments, key=lambda server: -len({weight for _, weight in moments[server]}))[:many]
    table = Table("server", "last", title="advice over the day (mean over proxies that have the server)")
    table.add_column("from begin to end", no_wrap=True)
    for server in sorted(moved):
        bars, last = "", 0
        rows, place = moments[server], 0
        for column in range(columns):
            until = span[0] + (span[1] - span[0]) * (column + 1) // columns
            while place < len(rows) and rows[place][0] <= until:
                last, place = rows[place][1], place + 1
            bars += BARS[min(8, -(-8 * last // top))] if top else " "
        table.add_row(server, str(last), bars)
    console.print(table)


def record_lives(folder: Path) -> None:
    """A line for each life of a director."""
    from rainpick.record.replay import Hole, lives
    from rainpick.store import read

    table = Table("director", "epoch", "module", "begun (UTC)", "seconds", "steps", "holes")
    for life, steps in lives(read(folder)):
        many = holes = 0
        last = life.now
        for one in steps:
            if isinstance(one, Hole):
                holes += 1
            else:
                many, last = many + 1, one.now
        begun = datetime.fromtimestamp(life.wall_us / 1e6, UTC).isoformat(timespec="seconds")
        seconds = f"{(last - life.now) / 1e6:.1f}"
        table.add_row(str(life.director), life.epoch, life.module[:12], begun, seconds, str(many), str(holes))
    console.print(table)


def replays(found: list, as_json: bool) -> None:
    """What would have been decided differently."""
    rows = []
    for one in found:
        moved = [(server, old, new) for server, (old, new) in one.weights.items() if abs(old - new) > 1e-9]
        moved.sort(key=lambda row: -abs(row[1] - row[2]))
        rows.append({
            "director": one.life.director, "epoch": one.life.epoch, "steps": one.steps, "orders": one.orders,
            "differing": one.differing, "hole": one.hole and one.hole.why,
            "first": one.first and {
                "second": (one.first.now - one.life.now) / 1e6,
                "heard": [repr(each) for each in one.first.heard[:8]],
                "no_longer": [repr(each) for each in one.first.recorded[:8]],
                "instead": [repr(each) for each in one.first.replayed[:8]]},
            "orders_by_kind": {kind: [one.before[kind], one.after[kind]]
                               for kind in sorted(one.before.keys() | one.after.keys())},
            "mean_weight": {f"{server[0]}:{server[1]}": [old, new] for server, old, new in moved[:20]}})
    if as_json:
        click.echo(json.dumps(rows))
        return
    for row in rows:
        many = row["differing"]
        same = f"[red]{many} steps differ[/red]" if many else "[green]the same[/green]"
        console.print(f"director {row['director']}, {row['epoch']}: {row['steps']} steps, "
                      f"{row['orders']} orders, {same}"
                      + (f"; not to the end: {row['hole']}" if row["hole"] else ""))
        if not row["first"]:
            continue
        console.print(f"first at {row['first']['second']:.2f} s; from there on the recorded reports answer "
                      "other decisions, and tell less the further the two part")
        for name in ("heard", "no_longer", "instead"):
            for each in row["first"][name]:
                console.print(f"  {name.replace('_', ' ')}: {each}", soft_wrap=True)
        table = Table("orders", "recorded", "replayed")
        for kind, (old, new) in row["orders_by_kind"].items():
            table.add_row(kind, str(old), str(new))
        console.print(table)
        table = Table("server", "mean weight recorded", "replayed")
        for server, (old, new) in row["mean_weight"].items():
            table.add_row(server, f"{old:.3f}", f"{new:.3f}")
        console.print(table)
