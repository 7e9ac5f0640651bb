"""The mailbox, which sheds load reports only, and the rate-limited log."""

import io
import json
import threading

from rainpick.node.log import BURST, Log
from rainpick.node.mailbox import Mailbox


def test_the_oldest_reports_are_shed_and_no_notifications():
    mailbox = Mailbox(notification_limit=100, report_limit=3)
    mailbox.post_reports(range(5))
    mailbox.post("joined", "left")
    assert mailbox.receive(0) == (["joined", "left"], [2, 3, 4]) and mailbox.shed == 2
    assert mailbox.receive(0) == ([], [])


def test_notifications_wait_for_capacity_and_are_never_lost():
    mailbox = Mailbox(notification_limit=2)
    thread = threading.Thread(target=lambda: [mailbox.post(number) for number in range(50)])
    thread.start()
    received = []
    while len(received) < 50:
        notifications, _ = mailbox.receive(5)
        assert 0 < len(notifications) <= 2
        received += notifications
    thread.join()
    assert received == list(range(50))


def test_the_log_is_rate_limited_and_counts_suppressed_lines():
    """Guards against a thousand rejected peers per second filling the storage of the log."""
    now_s, sink = [0.0], io.StringIO()
    log = Log(sink, lambda: now_s[0])
    for _ in range(10_000):
        log.warning("rejected", reason="x")
    assert len(sink.getvalue().splitlines()) == BURST
    now_s[0] = 1.0
    log.info("after")
    last = json.loads(sink.getvalue().splitlines()[-1])
    assert last["event"] == "after" and last["left_out"] == 10_000 - BURST


def test_a_log_line_is_one_write():
    """Guards against a director killed between a line's text and its line end.

    The first line of the next director was then appended to the incomplete line.
    """

    class Sink(io.StringIO):
        written: list[str] = []

        def write(self, text):
            self.written.append(text)
            return super().write(text)

    Log(Sink()).info("one", two=3)
    assert len(Sink.written) == 1 and Sink.written[0].endswith("}\n")
