"""The operations on OTLP load reports that the cases in ``wire/otlp.jsonl`` name."""

from rainpick.otlp.decoding import ReportError, decode_report
from rainpick.otlp.encoding import RouteOutcome, ServerOutcome, encode_report, encode_response
from rainpick.otlp.receiver import metrics_handler


def decode_body(body):
    """Decode a report: its points, the number of rejected points and the reason."""
    batch = decode_report(body)
    return [batch.points, batch.rejected, batch.reason]


def encode_body(arguments):
    reporter, start_ns, end_ns, servers, routes = arguments
    return encode_report(
        reporter,
        start_ns,
        end_ns,
        [ServerOutcome(*fields) for fields in servers],
        [RouteOutcome(*fields) for fields in routes],
    )


def encode_export_response(arguments):
    return encode_response(*arguments)


def handle_request(arguments):
    """Return the response to a request if the director returns these verdicts.

    ``verdicts`` has the number of points by verdict; None means that the director is too busy.
    """
    request, verdicts = arguments
    return metrics_handler(lambda _: verdicts)(request)


OPERATIONS = {
    "read": decode_body,
    "write": encode_body,
    "answer": encode_export_response,
    "handled": handle_request,
}
ERRORS = {ReportError: "report"}
