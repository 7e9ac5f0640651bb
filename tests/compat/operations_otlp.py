"""What the data file of the reports' front is read and written by today."""

from rainpick.otlp import metrics
from rainpick.otlp.receiver import receiver


def read(body):
    """The points of a report, how many were rejected, and why."""
    batch = metrics.read(body)
    return [batch.points, batch.rejected, batch.why]


def write(words):
    return metrics.write(*words)


def answer(words):
    return metrics.answer(*words)


def handled(words):
    """The answer to a request, if the core gives these verdicts; none: it is too busy."""
    asked, verdicts = words
    return receiver(lambda _: verdicts)(asked)


OPERATIONS = {"read": read, "write": write, "answer": answer, "handled": handled}
ERRORS = {metrics.ReportError: "report"}
