"""What recording costs the core, what a replay takes, how long a large store takes to open after a kill."""

import os
import random
import shutil
import sys
import time

from benchmarks.peers import folder
from rainpick import model
from rainpick.director.engine import Engine
from rainpick.record.incarnations import read_incarnations
from rainpick.record.recorder import Recorder
from rainpick.record.replay import replay_incarnation
from rainpick.record.steps import Incarnation
from rainpick.settings import parse
from rainpick.store import Log, read

SERVERS, PROXIES, MINUTES = 120, 300, 10
TEXT = """{
  routes: [{name: "lookup", slo_time: "500ms", time_limit: "2s"}],
  proxies: {count: 300, hears_per_s: 80}, rules: {warm_after: "12s"},
  channel: {lines_per_s: 2500, head_lines: 6, pending_lines: 5000},
}"""


def server(number: int, state: int = model.EndpointState.READY, started_us: int = 0) -> model.Endpoint:
    return model.Endpoint(2.0, 0, started_us, number % 2, number // 4, ("10.0.0.1", 9000 + number), state)


def day(minutes: float, watch=None, turns: list[float] | None = None) -> tuple[float, int, int]:
    """80 report lines a second, a deploy, proxies that come and go: core seconds, steps, events."""
    settings, chance, now = parse(TEXT), random.Random(3), 1_000_000
    engine = Engine(settings, 5, now)
    engine.stepper.on_step = watch
    engine.update_endpoints(
        model.EndpointUpdate(model.UpdateKind.CACHED, tuple(map(server, range(SERVERS))), 1)
    )
    for proxy in range(PROXIES):
        engine.join(proxy, True, 2.0, 0, ())
    end, second, begin = now + int(minutes * 60e6), 0, time.thread_time()

    def turn():
        start = time.perf_counter()
        for write in engine.advance(now):
            engine.confirm_delivery(write.proxy, write.number)
        if turns is not None:
            turns.append(time.perf_counter() - start)

    while now < end:
        second += 1
        lines = []
        for _ in range(40):
            tries = chance.randint(4, 12)
            met, took_us = ("10.0.0.1", 9000 + chance.randrange(SERVERS)), chance.randint(30_000, 90_000)
            dropped = int(chance.random() < 0.02)
            lines.append(model.ServerLoadReport(met, 0, tries, dropped, took_us, 1_000_000, ()))
            lines.append(
                model.RouteLoadReport(chance.randrange(PROXIES), 0, chance.randint(0, 5), 0, 1_000_000)
            )
        engine.add_load_reports(lines)
        if second % 40 == 0:
            engine.update_endpoints(
                model.EndpointUpdate(
                    model.UpdateKind.DELTA, (server(second % SERVERS, model.EndpointState.DRAINING),), second
                )
            )
        elif second % 40 == 5 and second > 40:
            fresh = server((second - 5) % SERVERS, started_us=now)
            engine.update_endpoints(model.EndpointUpdate(model.UpdateKind.DELTA, (fresh,), second))
        if second % 7 == 0:
            gone = chance.randrange(PROXIES)
            engine.leave(gone)
            engine.join(gone, False, 2.0, 0, ())
        until = now + 1_000_000
        turn()
        while (due := engine.due_us()) is not None and due <= until:
            now = max(now, due)
            turn()
        now = until
    return time.thread_time() - begin, engine.stepper.step_count, engine.stepper.events_handled


def live(seconds: float, sync: bool | None) -> tuple[list[float], float]:
    """At the wall's pace, as a daemon would: turns of the core in seconds, sorted; CPU seconds of all.

    ``sync``: whether the record waits for the disk; None: nothing is recorded.
    """
    engine, chance, turns = Engine(parse(TEXT), 5, 1_000_000), random.Random(3), []
    recorder = None
    if sync is not None:
        life = Incarnation(0, "bench", "", 1_000_000, 1_000_000, {})
        recorder = Recorder(folder() / f"live{sync}", life, 64 << 20, 0, 0, sync)
        engine.stepper.on_step = recorder.step
    engine.update_endpoints(
        model.EndpointUpdate(model.UpdateKind.CACHED, tuple(map(server, range(SERVERS))), 1)
    )
    for proxy in range(PROXIES):
        engine.join(proxy, True, 2.0, 0, ())
    begin, cpu_s, report = time.monotonic(), time.process_time(), 0.0
    while (passed := time.monotonic() - begin) < seconds:
        if passed >= report:
            report += 1
            hosts = [("10.0.0.1", 9000 + chance.randrange(SERVERS)) for _ in range(80)]
            engine.add_load_reports(
                [
                    model.ServerLoadReport(host, 0, chance.randint(4, 12), 0, 50_000, 1_000_000, ())
                    for host in hosts
                ]
            )
        now, due = 1_000_000 + int(passed * 1e6), engine.due_us()
        if not engine.events and (due is None or due > now):
            time.sleep(0.001)
            continue
        start = time.perf_counter()
        for write in engine.advance(now):
            engine.confirm_delivery(write.proxy, write.number)
        turns.append(time.perf_counter() - start)
    cpu_s = time.process_time() - cpu_s
    if recorder:
        recorder.close()
    return sorted(turns), cpu_s


def quantile_ratios(turns: list[float], other: list[float]) -> str:
    """How many times as long a turn takes, in the middle and at the slow end; both lists are sorted."""
    rows = [(part, turns[int(part * len(turns))], other[int(part * len(other))]) for part in (0.5, 0.99)]
    return ", ".join(f"a turn at {part:.0%} {late / early:.2f} times" for part, early, late in rows)


def main() -> None:
    turns, cpu_s = live(20, None)
    for name, sync in (("recording", False), ("recording, waiting for the disk", True)):
        other, other_s = live(20, sync)
        print(f"live, {name}: CPU {other_s / cpu_s:.2f} times, {quantile_ratios(turns, other)}")
    place = folder() / "day"
    plain, recorded = [], []
    off = [day(2, None, plain)[0] for _ in range(3)]
    on, lost = [], 0
    for turn in range(3):
        life = Incarnation(0, "bench", "", 1_000_000, 1_000_000, {})
        recorder = Recorder(folder() / f"cost{turn}", life, 64 << 20, 0, 0, False)

        def slowly(*words, recorder=recorder):  # virtual time outruns any disk: a live core would not wait
            while recorder.queue.full():
                time.sleep(0.0005)
            recorder.step(*words)

        on.append(day(2, slowly, recorded)[0])
        recorder.close()
        lost += recorder.lost
    print(
        f"core seconds for two minutes: off {min(off):.3f}, recording {min(on):.3f}: "
        f"{min(on) / min(off):.3f} times; {lost} steps lost"
    )
    for part in (0.5, 0.99, 0.999):
        without, with_it = (sorted(rows)[int(part * len(rows))] * 1e6 for rows in (plain, recorded))
        print(
            f"a turn of the core at {part:.1%}: off {without:.0f} us, recording {with_it:.0f} us, "
            f"{with_it / without:.2f} times"
        )
    life = Incarnation(0, "bench", "", 1_000_000, 1_000_000, {})
    recorder = Recorder(place, life, 64 << 20, 0, 0, False)

    def step(*words):
        while recorder.queue.full():
            time.sleep(0.0005)
        recorder.step(*words)

    core_s, steps, events = day(MINUTES, step)
    recorder.close()
    size = sum(path.stat().st_size for path in place.iterdir())
    print(
        f"{MINUTES} minutes: {steps} steps, {events} events, {size / 1e6:.2f} MB, "
        f"{size / events:.1f} bytes an event, {size * 144 / 1e9 * 10 / MINUTES:.2f} GB a day"
    )
    begin = time.perf_counter()
    (one,) = [replay_incarnation(life, rows) for life, rows in read_incarnations(read(place))]
    took = time.perf_counter() - begin
    print(
        f"replay: {took:.2f} s for {MINUTES} minutes, a day of 24 h in "
        f"{took * 144 * 10 / MINUTES / 60:.1f} min; {one.differing} steps differ; "
        f"{took / core_s:.2f} times the engine's own time"
    )
    begin = time.perf_counter()
    (one,) = [replay_incarnation(life, rows, compare=True) for life, rows in read_incarnations(read(place))]
    told = time.perf_counter() - begin
    rows = sum(len(pair[0]) + len(pair[1]) for pair in one.compared.series.values())
    print(f"the same, told in users' terms: {told / took:.2f} times that; {rows} points kept")
    large = folder() / "large"
    log = Log(large, sync=False)
    block = [(number, 2, os.urandom(1000)) for number in range(2000)]
    goal = min(4 << 30, shutil.disk_usage(large).free // 4)
    written = 0
    while written < goal:
        log.waiting = list(block)
        log.flush()
        written += 2_000_000
    log.file.write(b"RPBK half of a block")
    log.file.flush()
    begin = time.perf_counter()
    again = Log(large, sync=False)
    took = time.perf_counter() - begin
    print(f"open after a kill, {written / 1e9:.1f} GB: {took:.3f} s, torn: {again.torn}")
    shutil.rmtree(large)


if __name__ == "__main__":
    sys.exit(main())
