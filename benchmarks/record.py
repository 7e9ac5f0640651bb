"""Cost of recording to the core, duration of a replay, and time to open a large store after a crash."""

import os
import random
import shutil
import sys
import time

from benchmarks.peers import temporary_folder
from rainpick import model
from rainpick.director.engine import Engine
from rainpick.record.incarnations import read_incarnations
from rainpick.record.recorder import Recorder
from rainpick.record.replay import replay_incarnation
from rainpick.record.steps import Incarnation
from rainpick.settings import parse
from rainpick.store import Log, read

SERVERS, PROXIES, MINUTES = 120, 300, 10
SETTINGS = """{
  routes: [{name: "lookup", slo_time: "500ms", time_limit: "2s"}],
  proxies: {count: 300, hears_per_s: 80}, rules: {warm_after: "12s"},
  channel: {lines_per_s: 2500, head_lines: 6, pending_lines: 5000},
}"""


def build_endpoint(
    number: int, state: int = model.EndpointState.READY, started_us: int = 0
) -> model.Endpoint:
    return model.Endpoint(2.0, 0, started_us, number % 2, number // 4, ("10.0.0.1", 9000 + number), state)


def simulate_day(
    minutes: float, on_step=None, advance_times_s: list[float] | None = None
) -> tuple[float, int, int]:
    """Run an engine in virtual time; return the CPU seconds and the numbers of steps and of events.

    The day has 80 report lines a second, a deploy, and proxies that leave and join again. ``on_step`` is
    called for each step; the duration of each call of ``advance`` is appended to ``advance_times_s``.
    """
    settings, rng, now = parse(SETTINGS), random.Random(3), 1_000_000
    engine = Engine(settings, 5, now)
    engine.stepper.on_step = on_step
    engine.update_endpoints(
        model.EndpointUpdate(model.UpdateKind.CACHED, tuple(map(build_endpoint, range(SERVERS))), 1)
    )
    for proxy in range(PROXIES):
        engine.join(proxy, True, 2.0, 0, ())
    end, second, begin = now + int(minutes * 60e6), 0, time.thread_time()

    def advance():
        start = time.perf_counter()
        for write in engine.advance(now):
            engine.confirm_delivery(write.proxy, write.number)
        if advance_times_s is not None:
            advance_times_s.append(time.perf_counter() - start)

    while now < end:
        second += 1
        reports = []
        for _ in range(40):
            attempts = rng.randint(4, 12)
            address, latency_us = ("10.0.0.1", 9000 + rng.randrange(SERVERS)), rng.randint(30_000, 90_000)
            failures = int(rng.random() < 0.02)
            reports.append(model.ServerLoadReport(address, 0, attempts, failures, latency_us, 1_000_000, ()))
            reports.append(model.RouteLoadReport(rng.randrange(PROXIES), 0, rng.randint(0, 5), 0, 1_000_000))
        engine.add_load_reports(reports)
        if second % 40 == 0:
            engine.update_endpoints(
                model.EndpointUpdate(
                    model.UpdateKind.DELTA,
                    (build_endpoint(second % SERVERS, model.EndpointState.DRAINING),),
                    second,
                )
            )
        elif second % 40 == 5 and second > 40:
            restarted = build_endpoint((second - 5) % SERVERS, started_us=now)
            engine.update_endpoints(model.EndpointUpdate(model.UpdateKind.DELTA, (restarted,), second))
        if second % 7 == 0:
            rejoining_proxy = rng.randrange(PROXIES)
            engine.leave(rejoining_proxy)
            engine.join(rejoining_proxy, False, 2.0, 0, ())
        next_second_us = now + 1_000_000
        advance()
        while (due := engine.due_us()) is not None and due <= next_second_us:
            now = max(now, due)
            advance()
        now = next_second_us
    return time.thread_time() - begin, engine.stepper.step_count, engine.stepper.events_handled


def run_in_real_time(seconds: float, sync: bool | None) -> tuple[list[float], float]:
    """Run an engine by the wall clock, as the daemon does.

    Return the sorted durations of ``advance`` in seconds, and the CPU seconds of the whole run. ``sync``:
    whether the recorder syncs its writes to the disk; None: nothing is recorded.
    """
    engine, rng, advance_times_s = Engine(parse(SETTINGS), 5, 1_000_000), random.Random(3), []
    recorder = None
    if sync is not None:
        incarnation = Incarnation(0, "bench", "", 1_000_000, 1_000_000, {})
        recorder = Recorder(temporary_folder() / f"live{sync}", incarnation, 64 << 20, 0, 0, sync)
        engine.stepper.on_step = recorder.step
    engine.update_endpoints(
        model.EndpointUpdate(model.UpdateKind.CACHED, tuple(map(build_endpoint, range(SERVERS))), 1)
    )
    for proxy in range(PROXIES):
        engine.join(proxy, True, 2.0, 0, ())
    begin, cpu_s, next_report_s = time.monotonic(), time.process_time(), 0.0
    while (elapsed_s := time.monotonic() - begin) < seconds:
        if elapsed_s >= next_report_s:
            next_report_s += 1
            addresses = [("10.0.0.1", 9000 + rng.randrange(SERVERS)) for _ in range(80)]
            engine.add_load_reports(
                [
                    model.ServerLoadReport(address, 0, rng.randint(4, 12), 0, 50_000, 1_000_000, ())
                    for address in addresses
                ]
            )
        now, due = 1_000_000 + int(elapsed_s * 1e6), engine.due_us()
        if not engine.stepper.pending_events and (due is None or due > now):
            time.sleep(0.001)
            continue
        start = time.perf_counter()
        for write in engine.advance(now):
            engine.confirm_delivery(write.proxy, write.number)
        advance_times_s.append(time.perf_counter() - start)
    cpu_s = time.process_time() - cpu_s
    if recorder:
        recorder.close()
    return sorted(advance_times_s), cpu_s


def quantile_ratios(base_times_s: list[float], times_s: list[float]) -> str:
    """Format how the median and the 99th percentile rise over the base; both lists are sorted."""
    rows = [
        (quantile, base_times_s[int(quantile * len(base_times_s))], times_s[int(quantile * len(times_s))])
        for quantile in (0.5, 0.99)
    ]
    return ", ".join(
        f"a turn at {quantile:.0%} {time_s / base_s:.2f} times" for quantile, base_s, time_s in rows
    )


def main() -> None:
    base_times_s, base_cpu_s = run_in_real_time(20, None)
    for name, sync in (("recording", False), ("recording, waiting for the disk", True)):
        times_s, cpu_s = run_in_real_time(20, sync)
        print(f"live, {name}: CPU {cpu_s / base_cpu_s:.2f} times, {quantile_ratios(base_times_s, times_s)}")
    folder = temporary_folder() / "day"
    plain_times_s, recorded_times_s = [], []
    plain_cpu_s = [simulate_day(2, None, plain_times_s)[0] for _ in range(3)]
    recording_cpu_s, lost = [], 0
    for round_number in range(3):
        incarnation = Incarnation(0, "bench", "", 1_000_000, 1_000_000, {})
        recorder = Recorder(temporary_folder() / f"cost{round_number}", incarnation, 64 << 20, 0, 0, False)

        # Waits while the queue is full, unlike the daemon's core: in virtual time steps come faster than
        # any disk writes them.
        def record_step(*step, recorder=recorder):
            while recorder.queue.full():
                time.sleep(0.0005)
            recorder.step(*step)

        recording_cpu_s.append(simulate_day(2, record_step, recorded_times_s)[0])
        recorder.close()
        lost += recorder.lost
    print(
        f"core seconds for two minutes: off {min(plain_cpu_s):.3f}, recording {min(recording_cpu_s):.3f}: "
        f"{min(recording_cpu_s) / min(plain_cpu_s):.3f} times; {lost} steps lost"
    )
    for quantile in (0.5, 0.99, 0.999):
        plain_us, recorded_us = (
            sorted(times)[int(quantile * len(times))] * 1e6 for times in (plain_times_s, recorded_times_s)
        )
        print(
            f"a turn of the core at {quantile:.1%}: off {plain_us:.0f} us, recording {recorded_us:.0f} us, "
            f"{recorded_us / plain_us:.2f} times"
        )
    incarnation = Incarnation(0, "bench", "", 1_000_000, 1_000_000, {})
    recorder = Recorder(folder, incarnation, 64 << 20, 0, 0, False)

    def record_step(*step):
        while recorder.queue.full():
            time.sleep(0.0005)
        recorder.step(*step)

    core_s, steps, events = simulate_day(MINUTES, record_step)
    recorder.close()
    size = sum(path.stat().st_size for path in folder.iterdir())
    print(
        f"{MINUTES} minutes: {steps} steps, {events} events, {size / 1e6:.2f} MB, "
        f"{size / events:.1f} bytes an event, {size * 144 / 1e9 * 10 / MINUTES:.2f} GB a day"
    )
    begin = time.perf_counter()
    (result,) = [
        replay_incarnation(incarnation, recorded_steps)
        for incarnation, recorded_steps in read_incarnations(read(folder))
    ]
    replay_s = time.perf_counter() - begin
    print(
        f"replay: {replay_s:.2f} s for {MINUTES} minutes, a day of 24 h in "
        f"{replay_s * 144 * 10 / MINUTES / 60:.1f} min; {result.differing} steps differ; "
        f"{replay_s / core_s:.2f} times the engine's own time"
    )
    begin = time.perf_counter()
    (result,) = [
        replay_incarnation(incarnation, recorded_steps, compare=True)
        for incarnation, recorded_steps in read_incarnations(read(folder))
    ]
    compare_s = time.perf_counter() - begin
    points = sum(len(pair[0]) + len(pair[1]) for pair in result.comparison.share_series.values())
    print(f"the same, told in users' terms: {compare_s / replay_s:.2f} times that; {points} points kept")
    large_folder = temporary_folder() / "large"
    log = Log(large_folder, sync=False)
    records = [(number, 2, os.urandom(1000)) for number in range(2000)]
    target_bytes = min(4 << 30, shutil.disk_usage(large_folder).free // 4)
    written_bytes = 0
    while written_bytes < target_bytes:
        log.unwritten = list(records)
        log.flush()
        written_bytes += 2_000_000
    log.file.write(b"RPBK half of a block")
    log.file.flush()
    begin = time.perf_counter()
    reopened_log = Log(large_folder, sync=False)
    open_s = time.perf_counter() - begin
    print(f"open after a kill, {written_bytes / 1e9:.1f} GB: {open_s:.3f} s, torn: {reopened_log.torn}")
    shutil.rmtree(large_folder)


if __name__ == "__main__":
    sys.exit(main())
