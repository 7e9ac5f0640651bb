"""A recorded day for tests, and the replay of a whole record."""

from rainpick import model
from rainpick.record.incarnations import read_incarnations
from rainpick.record.replay import replay_incarnation
from rainpick.record.steps import Incarnation, RecordKind, Step, write_incarnation, write_step
from rainpick.store import Log, read
from tests.director.drive import Drive, server

INCARNATION = Incarnation(0, "e", "m", 1_000_000, 0, {})


def record_day(folder, seconds=20):
    """A director under a virtual clock, its steps recorded: drains, reports, a loss, joins."""
    drive = Drive('rules: {warm_after: "6s"}, proxies: {count: 1}')
    log = Log(folder, sync=False)
    log.append(1, RecordKind.INCARNATION, write_incarnation(INCARNATION))
    drive.engine.stepper.on_step = lambda now, *parts: log.append(
        now, RecordKind.STEP, write_step(Step(now, *parts))
    )
    for number in range(4):
        drive.join(number)
    drive.run(2)
    drive.listed(server(1, model.EndpointState.DRAINING))
    drive.run(1)
    drive.listed(server(9, started_us=drive.now), server(2, model.EndpointState.GONE))
    drive.run(2)
    for tries in (30, 30):
        drive.engine.add_load_reports(
            [model.ServerLoadReport(("127.0.0.1", 9000), 0, tries, 29, 90_000, 1_000_000, ())]
        )
        drive.engine.add_load_reports(
            [model.ServerLoadReport(("127.0.0.1", 9003), 0, 60, 0, 50_000, 1_000_000, ())]
        )
        drive.run(1)
    drive.left(2)
    drive.run(seconds)
    log.close()
    return drive


def replay_all(folder, *module, **options):
    """The results of all incarnations in a record."""
    return [
        replay_incarnation(incarnation, steps, *module, **options)
        for incarnation, steps in read_incarnations(read(folder))
    ]
