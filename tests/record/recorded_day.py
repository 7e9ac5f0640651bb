"""Helpers that record a day of a director under a virtual clock, and replay a whole record."""

from rainpick import model
from rainpick.record.incarnations import read_incarnations
from rainpick.record.replay import replay_incarnation
from rainpick.record.steps import Incarnation, RecordKind, Step, encode_incarnation, encode_step
from rainpick.store import Log, read
from tests.director.engine_driver import Drive, server

INCARNATION = Incarnation(0, "e", "m", 1_000_000, 0, {})


def record_day(folder, seconds=20):
    """Record a director whose fleet has joins, a drain, load reports and a lost server."""
    drive = Drive('rules: {warm_after: "6s"}, proxies: {count: 1}')
    log = Log(folder, sync=False)
    log.append(1, RecordKind.INCARNATION, encode_incarnation(INCARNATION))
    drive.engine.stepper.on_step = lambda now, *events_and_commands: log.append(
        now, RecordKind.STEP, encode_step(Step(now, *events_and_commands))
    )
    for number in range(4):
        drive.join(number)
    drive.run(2)
    drive.update_endpoints(server(1, model.EndpointState.DRAINING))
    drive.run(1)
    drive.update_endpoints(server(9, started_us=drive.now), server(2, model.EndpointState.GONE))
    drive.run(2)
    for attempts in (30, 30):
        drive.engine.add_load_reports(
            [model.ServerLoadReport(("127.0.0.1", 9000), 0, attempts, 29, 90_000, 1_000_000, ())]
        )
        drive.engine.add_load_reports(
            [model.ServerLoadReport(("127.0.0.1", 9003), 0, 60, 0, 50_000, 1_000_000, ())]
        )
        drive.run(1)
    drive.leave(2)
    drive.run(seconds)
    log.close()
    return drive


def replay_all(folder, *director_factory, **options):
    """Replay all incarnations in a record and return their results."""
    return [
        replay_incarnation(incarnation, steps, *director_factory, **options)
        for incarnation, steps in read_incarnations(read(folder))
    ]
