"""Sub-commands. Exit codes: 0 well, 1 it failed or a verdict is bad, 2 the call or a file is wrong."""

from __future__ import annotations

import json
import sys
import tempfile
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import BinaryIO

import click

from rainpick.settings import SettingsError, json_schema, load

CONFIG = click.Path(dir_okay=False)


def plain_errors(command: Callable) -> Callable:
    """Faults of files and places are told in a line each, without a traceback."""

    @wraps(command)
    def run(*words, **named):
        from rainpick.http1.client import ClientError

        try:
            return command(*words, **named)
        except SettingsError as flaw:
            click.echo(str(flaw), err=True)
            sys.exit(2)
        except (OSError, ClientError) as flaw:
            click.echo(f"rainpick: {flaw}", err=True)
            sys.exit(1)

    return run


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="rainpick")
def main() -> None:
    """A traffic director: it publishes weights to plain proxies, by what members and reports tell it."""


@main.command()
@click.option("--config", required=True, type=CONFIG, help="Settings, JSON5.")
@plain_errors
def run(config: str) -> None:
    """Serve as one director until SIGTERM. SIGHUP reads the list file again."""
    from rainpick.cli import logs
    from rainpick.director.daemon import Daemon

    settings = load(config)
    logs.set_up(settings.log.level, settings.log.format)
    daemon = Daemon(settings)
    daemon.start()
    sys.exit(daemon.run())


@main.group()
def config() -> None:
    """Settings: check a file, print the schema."""


@config.command("check")
@click.argument("file", type=CONFIG)
@plain_errors
def config_check(file: str) -> None:
    """Say whether FILE is good; each fault in a line."""
    settings = load(file)
    if settings.fleet.list_file:
        from rainpick.director.listing import read_list

        read_list(settings.fleet.list_file, settings, 0)
    click.echo(f"{file}: good")


@config.command("schema")
def config_schema() -> None:
    """Print the JSON Schema of the settings."""
    click.echo(json.dumps(json_schema(), indent=2))


@config.command("payloads")
def config_payloads() -> None:
    """Print the JSON Schema of the publish-subscribe front's payloads."""
    from rainpick.publish.payloads import schema as payload_schema

    click.echo(json.dumps(payload_schema(), indent=2))


def place_of(text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit():
        raise click.BadParameter(f"{text!r} is not HOST:PORT")
    return host, int(port)


@main.command()
@click.option("--at", default="127.0.0.1:8780", show_default=True, help="Where the director shows its state.")
@click.option("--json", "as_json", is_flag=True, help="The whole state as JSON.")
@plain_errors
def status(at: str, as_json: bool) -> None:
    """Show what a director holds: servers, proxies, channel, reports."""
    from rainpick.cli import show
    from rainpick.http1.client import Client

    code, _, body = Client(*place_of(at)).call("GET", "/status")
    if code != 200:
        click.echo(f"rainpick: {at} answers {code}: {body.decode(errors='replace')}", err=True)
        sys.exit(1)
    found = json.loads(body)
    if as_json:
        click.echo(json.dumps(found, indent=2))
    else:
        show.status(found)


@main.group()
def sasp() -> None:
    """Speak SASP to a director."""


@sasp.command()
@click.option("--at", default="127.0.0.1:3860", show_default=True, help="Where the director speaks SASP.")
@click.option("--uid", default="rainpick-cli", show_default=True, help="LB UID; it counts as a proxy.")
@click.option("--group", default="servers", show_default=True, help="Group name.")
@click.option("--follow", is_flag=True, help="Go on: print each change that is pushed.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a message.")
@plain_errors
def weights(at: str, uid: str, group: str, follow: bool, as_json: bool) -> None:
    """Print the advice that a load balancer is given."""
    from rainpick.cli import show

    show.weights(place_of(at), uid, group, follow, as_json)


AT = click.option("--at", default="127.0.0.1:8780", show_default=True, help="The director's status front.")
WHO = click.option("--who", required=True, help="Who does it; it is logged.")
WHY = click.option("--why", required=True, help="Why; it is logged.")
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON.")


@main.group()
def tables() -> None:
    """The tables that proxies follow: versions, differences, pins."""


def tables_of(at: str, path: str, words: dict | None = None) -> dict:
    """Ask a director; a refusal ends the command with its reason."""
    from rainpick.http1.client import Client

    client, method = Client(*place_of(at)), "GET" if words is None else "POST"
    code, _, body = client.call(method, path, b"" if words is None else json.dumps(words).encode())
    found = json.loads(body)
    if code != 200:
        click.echo(f"rainpick: {found.get('error', code)}", err=True)
        sys.exit(1)
    return found


@tables.command("list")
@AT
@JSON
@plain_errors
def tables_list(at: str, as_json: bool) -> None:
    """Each table's newest version, its proxies, what is kept, who pinned it."""
    from rainpick.cli import show

    rows = tables_of(at, "/status").get("tables", [])
    click.echo(json.dumps(rows)) if as_json else show.tables(rows)


@tables.command("show")
@click.argument("table", type=int)
@click.option("--version", type=int, help="The newest if not given.")
@AT
@JSON
@plain_errors
def tables_show(table: int, version: int | None, at: str, as_json: bool) -> None:
    """The lines of a version."""
    found = tables_of(at, "/tables/show", {"table": table, "version": version})
    if as_json:
        click.echo(json.dumps(found))
        return
    click.echo(f"table {table}, version {found['version']}, digest {found['digest']}")
    for server, weight in found["lines"].items():
        click.echo(f"{server:<24} {weight:>6}{'' if weight else '  shut out'}")


@tables.command("diff")
@click.argument("table", type=int)
@click.argument("first", type=int)
@click.argument("second", type=int)
@AT
@plain_errors
def tables_diff(table: int, first: int, second: int, at: str) -> None:
    """What differs between two versions."""
    old, new = (
        tables_of(at, "/tables/show", {"table": table, "version": one})["lines"] for one in (first, second)
    )
    for server in sorted(old.keys() | new.keys()):
        if old.get(server) != new.get(server):
            click.echo(f"{server:<24} {old.get(server, '-')!s:>6} -> {new.get(server, '-')!s}")


def table_change(deed: str, at: str, words: dict) -> None:
    row = tables_of(at, f"/tables/{deed}", words)
    state = f"pinned to the content of {row['pinned']['version']}" if row["pinned"] else "not pinned"
    click.echo(f"table {row['table']}: version {row['version']}, {row['open']} open lines, {state}")


@tables.command()
@click.argument("table", type=int)
@click.option("--to", "version", type=int, help="The version before the newest if not given.")
@WHO
@WHY
@AT
@plain_errors
def rollback(table: int, version: int | None, who: str, why: str, at: str) -> None:
    """Publish an earlier version's content as a new version, less what drained or went, until `release`."""
    table_change("rollback", at, {"table": table, "version": version, "who": who, "why": why})


@tables.command()
@click.argument("table", type=int)
@WHO
@WHY
@AT
@plain_errors
def pin(table: int, who: str, why: str, at: str) -> None:
    """Keep the newest version's content as it is, until `release`; withdrawals still go out."""
    table_change("pin", at, {"table": table, "who": who, "why": why})


@tables.command()
@click.argument("table", type=int)
@WHO
@WHY
@AT
@plain_errors
def release(table: int, who: str, why: str, at: str) -> None:
    """Publish the ordinary table again."""
    table_change("release", at, {"table": table, "who": who, "why": why})


@main.command()
@click.argument("file", type=CONFIG)
@click.option("--dir", "folder", type=click.Path(file_okay=False), help="Where logs go; else a new folder.")
@click.option("--json", "as_json", is_flag=True, help="The verdict as JSON.")
@click.option("--quiet", is_flag=True, help="Only the verdict.")
@plain_errors
def day(file: str, folder: str | None, as_json: bool, quiet: bool) -> None:
    """Play a scripted day on loopback and judge it: 0 if the rules are kept and the goal is reached."""
    from rainpick.cli import show
    from rainpick.standins.day import Day, DayError
    from rainpick.standins.scenario import Scenario

    scenario = load(file, Scenario)
    place = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="rainpick-day-"))
    try:
        verdict = Day(scenario, place).play(show.progress(scenario, quiet or as_json))
    except DayError as flaw:
        click.echo(f"rainpick: {flaw}; logs are in {place}", err=True)
        sys.exit(1)
    good = verdict.kept and verdict.share() >= scenario.goal
    if as_json:
        click.echo(json.dumps(show.verdict_json(verdict, scenario.goal, good)))
    else:
        show.verdict(verdict, place, scenario.goal, good)
    sys.exit(0 if good else 1)


@main.group()
def record() -> None:
    """Recorded days of directors."""


@record.command("ls")
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@plain_errors
def record_ls(folder: str) -> None:
    """The lives in a record: director, epoch, steps, seconds."""
    from rainpick.cli import show

    show.record_lives(Path(folder))


@record.command("verify")
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@plain_errors
def record_verify(folder: str) -> None:
    """Check every block: 0 if all is whole, 1 with each damage, gap and torn end in a line."""
    from rainpick.store import Record, read

    good = many = 0
    for one in read(Path(folder)):
        if isinstance(one, Record):
            good += 1
        else:
            many += 1
            words = " ".join(f"{name}={value}" for name, value in one._asdict().items())
            click.echo(f"{type(one).__name__.lower()}: {words}")
    click.echo(f"{good} records are whole, {many} places are not")
    sys.exit(1 if many else 0)


@record.command("show")
@click.argument("folders", nargs=-1, required=True, type=click.Path(file_okay=False, exists=True))
@click.option(
    "--from", "begin", type=float, default=0.0, metavar="SECOND", help="Seconds from the first step."
)
@click.option("--until", "end", type=float, metavar="SECOND")
@click.option(
    "--reports-by-time", is_flag=True, help="Reports by when what they tell of began; both places are told."
)
@plain_errors
def record_show(folders: tuple[str, ...], begin: float, end: float | None, reports_by_time: bool) -> None:
    """What was heard and ordered, a line each; several records are shown on one clock."""
    from rainpick.cli import show

    if reports_by_time:
        show.reports_by_time([Path(folder) for folder in folders])
    else:
        show.record_steps([Path(folder) for folder in folders], begin, end)


@record.command("export")
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.argument("file", type=click.File("wb"), default="-")
@plain_errors
def record_export(folder: str, file: BinaryIO) -> None:
    """Write a record as lines of JSON."""
    from rainpick.record.exchange import write
    from rainpick.store import read

    for line in write(read(Path(folder))):
        file.write(line)


@record.command("import")
@click.argument("file", type=CONFIG)
@click.argument("folder", type=click.Path(file_okay=False))
@plain_errors
def record_import(file: str, folder: str) -> None:
    """Make a record of an export, in a new folder."""
    from rainpick.record.exchange import ExchangeError, import_file

    try:
        count = import_file(Path(file), Path(folder))
    except ExchangeError as flaw:
        click.echo(f"rainpick: {flaw}", err=True)
        sys.exit(2)
    click.echo(f"{count} records")


@main.command()
@click.argument("folders", nargs=-1, required=True, type=click.Path(file_okay=False, exists=True))
@click.option(
    "--set",
    "changes",
    multiple=True,
    metavar="NAME=VALUE",
    help="Another setting for the decisions, by the module's name; may be given again.",
)
@click.option("--settings", "file", type=CONFIG, help="Another settings file, in place of the recorded one.")
@click.option("--module", "text", type=CONFIG, help="Another text of the module; it is run as it stands.")
@click.option(
    "--until",
    "end",
    type=float,
    metavar="SECOND",
    help="With --inspect: seconds from the life's begin; of several records, from the first.",
)
@click.option("--inspect", "what", metavar="WHAT", help="fleet, server=HOST:PORT, table=N or proxy=N.")
@click.option(
    "--life",
    "number",
    type=int,
    default=-1,
    help="With --inspect of one record: which, from 0; else the last.",
)
@click.option("--html", type=click.Path(dir_okay=False), help="Write the report as a page with charts.")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@plain_errors
def replay(
    folders: tuple[str, ...],
    changes: tuple[str, ...],
    file: str | None,
    text: str | None,
    end: float | None,
    what: str | None,
    number: int,
    html: str | None,
    as_json: bool,
) -> None:
    """Feed recorded days to the decisions again: 0 if every order is the same, 1 if not.

    Several directors' records of a day are played side by side on the wall's clock.
    """
    from rainpick.cli import show
    from rainpick.record.clock import play_together
    from rainpick.record.load import ModuleError, module
    from rainpick.record.load import changes as read_changes
    from rainpick.record.replay import Director
    from rainpick.settings import Settings
    from rainpick.settings.plain import plain_map

    places = [Path(folder) for folder in folders]
    try:
        words = read_changes(list(changes))
        director = module(Path(text)) if text else Director
    except (ValueError, ModuleError) as flaw:
        raise click.BadParameter(str(flaw)) from None
    replace = plain_map(load(file, Settings)) if file else None
    if what:
        sys.exit(show.inspect(places, what, end, number, director, as_json))
    found = play_together(places, director, words, replace, compare=True)
    if not found:
        click.echo(f"rainpick: no life of a director is in {', '.join(folders)}", err=True)
        sys.exit(2)
    if html:
        from rainpick.record.page import page

        Path(html).write_text(page("Replay of " + ", ".join(place.name for place in places), found))
    show.replays(found, as_json)
    sys.exit(1 if any(one.differing or one.hole for one in found) else 0)


@main.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.option("--json", "as_json", is_flag=True, help="The verdict as JSON.")
@plain_errors
def audit(folder: str, as_json: bool) -> None:
    """Judge the logs of a day again."""
    from rainpick.cli import show
    from rainpick.rules import Limits, read_logs
    from rainpick.rules import audit as judge

    limits = Limits(**json.loads((Path(folder) / "limits.json").read_text()))
    verdict = judge(read_logs(Path(folder)), limits)
    if as_json:
        click.echo(json.dumps(show.verdict_json(verdict, 0.0, verdict.kept)))
    else:
        show.verdict(verdict, Path(folder), 0.0, verdict.kept)
    sys.exit(0 if verdict.kept else 1)
