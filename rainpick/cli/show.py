"""What people read: tables on the terminal."""

from __future__ import annotations

import json
import time
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
FIRST_S = 2.0  # how long advice is waited for that is not empty
BARS = " ▁▂▃▄▅▆▇█"


def status(found: dict[str, Any]) -> None:
    console.print(
        f"director {found['director']}: {found['phase']}, up {found['up_s']:.0f} s, "
        f"{found['threads']} threads, {found['streams']['open']} streams"
    )
    if "channel" not in found:
        return
    channel, reports = found["channel"], found["reports"]
    console.print(
        f"channel: {channel['lines']} lines wait, {channel['lines_most']} at most so far, "
        f"{channel['limit']} may; {channel['blocked']} proxies take nothing by themselves"
    )
    console.print("reports: " + ", ".join(f"{many} {name}" for name, many in reports.items()))
    table = Table("server", "state", "listed", "zone", "machine", "pod", "age", "advice by table")
    for server in found["servers"]:
        advice = " ".join(f"{name}:{weight}" for name, weight in sorted(server["tables"].items()))
        age = "" if server["age_s"] is None else f"{server['age_s']:.0f} s"
        state = server["state"] + (" (withdrawn)" if server["withdrawn"] else "")
        table.add_row(
            server["address"],
            state,
            f"{server['weight']:g}",
            server["zone"],
            server["machine"],
            str(server["pod"]),
            age,
            advice,
        )
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
    names = {
        codec.CONTACT: "contact",
        codec.QUIESCE: "quiesce",
        codec.CONFIDENT: "confident",
        codec.SELF_REGISTERED: "self-registered",
    }
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
            # Who has just joined has no table yet: it comes with the decisions' next step.
            until = time.monotonic() + FIRST_S
            reply = client.ask(codec.GetWeights((mine,)))
            while not any(group.entries for group in reply.groups) and time.monotonic() < until:
                time.sleep(0.05)
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
        click.echo(
            json.dumps(
                [
                    {"server": f"{host}:{port}", "weight": weight, "flags": flags(bits).split()}
                    for host, port, weight, bits in rows
                ]
            )
        )
        return
    for host, port, weight, bits in rows:
        click.echo(f"{host}:{port:<6} {weight:>6}  {flags(bits)}")


def progress(scenario, quiet: bool) -> Callable[[float, str, list], None]:
    """Says what happens as a day is played."""
    if quiet:
        return lambda *_: None
    console.print(
        f"{scenario.name}: {scenario.servers} servers in {len(scenario.zones)} zones, "
        f"{scenario.proxies} proxies, {scenario.calls_per_s:g} calls a second, "
        f"{scenario.length / 1e6:g} s"
    )
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
                    parts.append(
                        f"{ready} servers ready, {look['streams']['open']} streams, "
                        f"{messages} messages, {waiting} lines wait"
                    )
                else:
                    parts.append("no director answers")
            console.print(f"{second:6.1f} s  " + "; ".join(parts))

    return say


def percentile(values: list[int], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def verdict_json(verdict: Verdict, goal: float, good: bool) -> dict[str, Any]:
    return {
        "good": good,
        "service": verdict.share(),
        "goal": goal,
        "routes": {
            name: {
                "asked": row["asked"],
                "answered_in_time": row["good"],
                "median_ms": percentile(row["took"], 0.5) / 1e3,
                "p99_ms": percentile(row["took"], 0.99) / 1e3,
            }
            for name, row in verdict.service.items()
        },
        "rules": [
            {
                "name": rule.name,
                "checked": rule.checked,
                "breaches": len(rule.breaches),
                "nearest": rule.nearest,
                "nearest_who": rule.nearest_who,
                "first": vars(rule.breaches[0]) if rule.breaches else None,
            }
            for rule in verdict.rules
        ],
        "repeats": verdict.repeats,
    }


def verdict(found: Verdict, folder: Path, goal: float, good: bool) -> None:
    """Service, advice over time, the five rules."""
    table = Table("route", "asked", "in SLO time", "share", "median", "99%", title="service")
    for name, row in found.service.items():
        share = row["good"] / row["asked"] if row["asked"] else 0.0
        table.add_row(
            name,
            str(row["asked"]),
            str(row["good"]),
            f"{share:.4f}",
            f"{percentile(row['took'], 0.5) / 1e3:.0f} ms",
            f"{percentile(row['took'], 0.99) / 1e3:.0f} ms",
        )
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
    console.print(
        f"service {found.share():.4f}, goal {goal:g}; "
        + ("[green]good[/green]" if good else "[red]not good[/red]")
        + f"; logs in {folder}"
    )


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


def record_steps(folders: list[Path], begin: float, end: float | None) -> None:
    """Steps of all records on the wall's clock: seconds, director, place in its record, what, how."""
    from rainpick.record.clock import together
    from rainpick.record.replay import Hole
    from rainpick.record.schema import describe

    first = None
    for moment in together(folders):
        first = moment.wall_us if first is None else first
        second = (moment.wall_us - first) / 1e6
        if second < begin:
            continue
        if end is not None and second > end:
            break
        head = f"{second:10.3f} {moment.life.director} {moment.place:>7}"
        if isinstance(moment.step, Hole):
            click.echo(f"{head} hole     {moment.step.why}")
            continue
        for word, rows in (("heard", moment.step.events), ("ordered", moment.step.orders)):
            for row in rows:
                click.echo(f"{head} {word:<8} {describe(row)}")


def reports_by_time(folders: list[Path]) -> None:
    """Reports by when what they tell of began."""
    from rainpick.record.clock import reports_by_time as ordered
    from rainpick.record.replay import lives
    from rainpick.record.schema import describe
    from rainpick.store import read

    for folder in folders:
        for life, steps in lives(read(folder)):
            for placed, heard, late in ordered(steps):
                second = (late.began_us - life.now) / 1e6
                after = (late.heard_us - late.began_us) / 1e6
                click.echo(
                    f"{second:10.3f} {life.director} {placed:>7} heard as {heard:>7}, {after:.3f} s "
                    f"after its begin: {describe(late.event)}"
                )


def inspect(
    folders: list[Path], what: str, end: float | None, number: int, module: Any, as_json: bool
) -> int:
    """What directors held at a moment. 0, or 2 if there is no such thing or moment."""
    from rainpick.record import inspect as look
    from rainpick.record.clock import reach_together
    from rainpick.record.replay import nth
    from rainpick.store import read

    try:
        if len(folders) == 1:
            life, steps = nth(lambda: read(folders[0]), number)
            until = 1 << 62 if end is None else life.now + int(end * 1e6)
            rows = [(life, look.reach(life, steps, until, module))]
        else:
            rows = [(one.life, look.whole(one)) for one in reach_together(folders, end, module)]
        found = [look.asked_for(director, what) for _, director in rows]
    except LookupError as flaw:
        click.echo(f"rainpick: {flaw}", err=True)
        return 2
    if as_json:
        click.echo(json.dumps(found[0] if len(folders) == 1 else found))
        return 0
    for (life, director), one in zip(rows, found, strict=True):
        click.echo(f"{(director.now - life.now) / 1e6:.3f} s after the begin of director {life.director}")
        lines_of(one, "")
    return 0


def lines_of(found: dict[str, Any], indent: str) -> None:
    for name, value in found.items():
        words = str(name).replace("_", " ")
        if name == "because":
            for cause, times in value:
                if times != 1.0:
                    click.echo(f"{indent}  x {times:.4g}  {cause}")
        elif isinstance(value, dict):
            click.echo(f"{indent}{words}:")
            lines_of(value, indent + "  ")
        else:
            click.echo(f"{indent}{words}: {value if not isinstance(value, float) else format(value, '.6g')}")


def replays(found: list, as_json: bool) -> None:
    """What would have been decided differently, in users' terms."""
    if as_json:
        click.echo(json.dumps([replay_json(one) for one in found]))
        return
    for one in found:
        replay_text(one)


def replay_json(one: Any) -> dict[str, Any]:
    from rainpick.record.schema import describe

    told, begin = one.compared, one.life.now
    row: dict[str, Any] = {
        "director": one.life.director,
        "epoch": one.life.epoch,
        "steps": one.steps,
        "orders": one.orders,
        "differing": one.differing,
        "hole": one.hole and one.hole.why,
        "first": one.first
        and {
            "second": (one.first.now - begin) / 1e6,
            **{
                name: [describe(each) for each in rows[:8]]
                for name, rows in (
                    ("heard_before", one.first.before),
                    ("heard", one.first.heard),
                    ("no_longer", one.first.recorded),
                    ("instead", one.first.replayed),
                )
            },
        },
    }
    if told:
        row |= {
            "counts": told.counts,
            "throttled_s": told.throttled_s,
            "tells_until_s": told.tells_until_s,
            "parted": told.parted,
            "moved": [each._asdict() for each in told.moved],
            "nearest": {
                name: [
                    each and {"part": each.part, "second": (each.at_us - begin) / 1e6, "who": each.who}
                    for each in pair
                ]
                for name, pair in told.nearest.items()
            },
        }
    return row


def replay_text(one: Any) -> None:
    row, told = replay_json(one), one.compared
    many = one.differing
    same = f"[red]{many} steps differ[/red]" if many else "[green]the same[/green]"
    console.print(
        f"director {one.life.director}, {one.life.epoch}: {one.steps} steps, "
        f"{one.orders} orders, {same}" + (f"; not to the end: {row['hole']}" if row["hole"] else "")
    )
    if not one.first:
        return
    console.print(f"first at {row['first']['second']:.2f} s")
    for name in ("heard_before", "heard", "no_longer", "instead"):
        for each in row["first"][name]:
            console.print(f"  {name.replace('_', ' ')}: {each}", soft_wrap=True, markup=False)
    if told is None:
        return
    tells = (
        "the recorded reports tell of both to the end"
        if told.tells_until_s is None
        else f"[red]from {told.tells_until_s:.0f} s on the recorded reports answer other decisions too much "
        "to tell how the day would have gone[/red]"
    )
    console.print(f"in the mean {told.parted:.1%} of the calls go to other servers; {tells}")
    table = Table("", "recorded", "replayed")
    for name, (old, new) in told.counts.items():
        table.add_row(name, str(old), str(new))
    table.add_row("seconds throttled", *(f"{each:.1f}" for each in told.throttled_s))
    for name, pair in told.nearest.items():
        words = (
            "-"
            if each is None
            else f"{each.part:.0%} ({each.who}, {(each.at_us - one.life.now) / 1e6:.1f} s)"
            for each in pair
        )
        table.add_row(f"nearest: {name}", *words)
    console.print(table)
    table = Table("server", "share of calls recorded", "replayed", title="whose share moves most")
    for each in told.moved:
        table.add_row(each.server, f"{each.recorded:.4f}", f"{each.replayed:.4f}")
    console.print(table)
