"""What the data file of the reports' front is read and written by today."""

from rainpick.otlp.decoding import ReportError, decode_report
from rainpick.otlp.encoding import RouteOutcome, ServerOutcome, encode_report, encode_response
from rainpick.otlp.receiver import metrics_handler


def read(body):
    """The points of a report, how many were rejected, and why."""
    batch = decode_report(body)
    return [batch.points, batch.rejected, batch.reason]


def write(words):
    reporter, start_ns, end_ns, servers, routes = words
    return encode_report(
        reporter,
        start_ns,
        end_ns,
        [ServerOutcome(*fields) for fields in servers],
        [RouteOutcome(*fields) for fields in routes],
    )


def answer(words):
    return encode_response(*words)


def handled(words):
    """The answer to a request, if the core gives these verdicts; none: it is too busy."""
    asked, verdicts = words
    return metrics_handler(lambda _: verdicts)(asked)


OPERATIONS = {"read": read, "write": write, "answer": answer, "handled": handled}
ERRORS = {ReportError: "report"}
