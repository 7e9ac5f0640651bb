"""Load reports over OTLP/HTTP: which are accepted or rejected, and that none is counted twice."""

import gzip
import itertools
import socket
import threading
import time
import tracemalloc

import pytest
from google.rpc.status_pb2 import Status
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
    ExportMetricsServiceResponse,
)

from rainpick.http1.bodies import BodyError, decompress
from rainpick.http1.client import Client
from rainpick.otlp.encoding import RouteOutcome, ServerOutcome, encode_report
from tests.loopback.harness import MemberClient, ProxyClient, fetch_status, running_director
from tests.waiting import wait_until

CONTENT_TYPE = ("content-type", "application/x-protobuf")
SECOND_NS = 1_000_000_000
UIDS = itertools.cycle(range(1, 41))


def encode_body(end_s=0.0, uid=None, port=9001):
    """Encode a report of four attempts, one of them dropped, and three requests.

    The report ends ``end_s`` seconds from now. Without ``uid`` it is from the next proxy in turn, so that the
    periods of a proxy's reports do not overlap.
    """
    end = time.time_ns() + int(end_s * SECOND_NS)
    servers = [
        ServerOutcome("127.0.0.1", port, "answered", 3, 0.3),
        ServerOutcome("127.0.0.1", port, "dropped", 1, 1.0),
    ]
    routes = [RouteOutcome("lookup", "answered", 3)]
    return encode_report(uid or f"edge-{next(UIDS)}", end - SECOND_NS, end, servers, routes)


@pytest.fixture(scope="module")
def daemon():
    with running_director("otlp: {body_most: 20000}") as daemon:
        MemberClient(daemon, 9001, 9002)
        for number in range(1, 41):
            ProxyClient(daemon, f"edge-{number}")
        wait_until(lambda: sum(proxy["joined"] for proxy in fetch_status(daemon)["proxies"]) == 40)
        yield daemon


def post(daemon, data, *headers, path="/v1/metrics", method="POST", content_type=CONTENT_TYPE):
    client = Client(*daemon.otlp)
    response = client.request(method, path, data, (content_type, *headers))
    client.close()
    return response


def partial_success(data):
    """Return the number of rejected points and the error message that a response contains."""
    response = ExportMetricsServiceResponse()
    response.ParseFromString(data)
    return response.partial_success.rejected_data_points, response.partial_success.error_message


def counts(daemon):
    return fetch_status(daemon)["reports"]


def test_a_report_is_counted_with_and_without_gzip(daemon):
    before = counts(daemon)["fresh"]
    assert post(daemon, encode_body())[0] == 200
    code, headers, data = post(daemon, gzip.compress(encode_body()), ("content-encoding", "gzip"))
    assert (code, headers["content-type"], partial_success(data)) == (200, CONTENT_TYPE[1], (0, ""))
    assert counts(daemon)["fresh"] == before + 6
    wait_until(lambda: counts(daemon)["told"] > 0)


def test_a_duplicate_period_is_accepted_and_counted_once(daemon):
    report, before = encode_body(), counts(daemon)
    for _ in range(3):
        code, _, data = post(daemon, report)
        assert code == 200 and partial_success(data) == (0, "")
    after = counts(daemon)
    assert (after["fresh"] - before["fresh"], after["doubled"] - before["doubled"]) == (3, 6)


def test_a_report_of_ten_seconds_ago_is_rejected_as_late(daemon):
    before = counts(daemon)
    code, _, data = post(daemon, encode_body(-10))
    assert code == 200 and partial_success(data) == (3, "3 late")
    assert counts(daemon)["late"] == before["late"] + 3 and counts(daemon)["fresh"] == before["fresh"]


def cumulative():
    request = ExportMetricsServiceRequest()
    request.ParseFromString(encode_body())
    for metric in request.resource_metrics[0].scope_metrics[0].metrics:
        getattr(metric, metric.WhichOneof("data")).aggregation_temporality = 2
    return request.SerializeToString()


def modified(modify):
    request = ExportMetricsServiceRequest()
    request.ParseFromString(encode_body())
    modify(request.resource_metrics[0])
    return request.SerializeToString()


def rename_metric(resource):
    resource.scope_metrics[0].metrics[0].name = "http.server.duration"


def remove_instance_id(resource):
    del resource.resource.attributes[:]


def set_infinite_sum(resource):
    resource.scope_metrics[0].metrics[0].histogram.data_points[0].sum = float("inf")


def remove_server_port(resource):
    del resource.scope_metrics[0].metrics[0].histogram.data_points[0].attributes[1]


def remove_start_time(resource):
    resource.scope_metrics[0].metrics[1].sum.data_points[0].start_time_unix_nano = 0


@pytest.mark.parametrize(
    "data, rejected, reason",
    [
        (cumulative, 3, "delta"),
        (lambda: modified(rename_metric), 2, "not known"),
        (lambda: modified(remove_instance_id), 3, "service.instance.id"),
        (lambda: modified(set_infinite_sum), 1, "out of range"),
        (lambda: modified(remove_server_port), 1, "server.port"),
        (lambda: modified(remove_start_time), 1, "start_time"),
        (lambda: encode_body(uid="stranger"), 3, "unknown"),
        (lambda: encode_body(port=1), 2, "unknown"),
    ],
    ids=[
        "cumulative",
        "metric name",
        "no instance id",
        "infinite sum",
        "no server port",
        "no start time",
        "unknown proxy",
        "unknown server",
    ],
)
def test_unusable_points_are_a_partial_success_with_a_reason(daemon, data, rejected, reason):
    code, _, answer = post(daemon, data())
    assert code == 200 and partial_success(answer)[0] == rejected and reason in partial_success(answer)[1]


@pytest.mark.parametrize(
    "case, status_code",
    [
        ({"data": b"\xff\xff no protobuf"}, 400),
        ({"data": b"x" * 20_001}, 413),
        ({"data": gzip.compress(b"\0" * 1_000_000), "headers": [("content-encoding", "gzip")]}, 413),
        ({"data": b"not gzip", "headers": [("content-encoding", "gzip")]}, 400),
        ({"data": gzip.compress(b"cut off" * 99)[:-9], "headers": [("content-encoding", "gzip")]}, 400),
        ({"data": b"", "headers": [("content-encoding", "zstd")]}, 415),
        ({"data": b"{}", "content_type": ("content-type", "application/json")}, 415),
        ({"data": b"", "path": "/v1/traces"}, 404),
        ({"data": b"", "method": "GET"}, 405),
    ],
    ids=["garbage", "large", "bomb", "not gzip", "cut", "zstd", "json", "path", "method"],
)
def test_an_invalid_request_gets_the_specified_status(daemon, case, status_code):
    options = dict(case)
    data, headers = options.pop("data"), options.pop("headers", [])
    response = post(daemon, data, *headers, **options)
    assert response.status == status_code
    if response.headers["content-type"] == CONTENT_TYPE[1]:
        error = Status()
        error.ParseFromString(response.body)
        assert error.message


def test_data_that_is_not_http_closes_only_its_connection(daemon):
    with socket.create_connection(daemon.otlp) as sock:
        sock.settimeout(5)
        sock.sendall(b"\x16\x03\x01 hello\r\n\r\n")
        assert sock.recv(4096).startswith(b"HTTP/1.1 400")
        assert sock.recv(4096) == b""
    assert post(daemon, encode_body())[0] == 200


class BlockEventLoop:
    """A message whose handler blocks the event loop."""


def test_a_director_with_a_full_inbox_answers_429_with_retry_after():
    with running_director(director=", inbox: 100") as daemon:
        released = threading.Event()
        daemon.event_loop.handlers[BlockEventLoop] = lambda message: released.wait(10)
        daemon.event_loop.inbox.post(BlockEventLoop())
        while daemon.event_loop.inbox.post(BlockEventLoop(), wait=False):
            pass
        try:
            code, headers, _ = post(daemon, encode_body())
        finally:
            released.set()
        assert (code, headers["retry-after"]) == (429, "1")


def test_the_number_of_connections_is_bounded():
    with running_director("otlp: {connections_most: 2}") as daemon:
        socks = [socket.create_connection(daemon.otlp) for _ in range(3)]
        for sock in socks:
            sock.settimeout(5)
        assert socks[2].recv(4096).startswith(b"HTTP/1.1 503")
        for sock in socks:
            sock.close()


def test_decompression_is_bounded_in_memory():
    bomb = gzip.compress(b"\0" * 50_000_000)
    tracemalloc.start()
    try:
        with pytest.raises(BodyError, match="over 1000 bytes"):
            decompress(bomb, 1000)
        assert tracemalloc.get_traced_memory()[1] < 1_000_000
    finally:
        tracemalloc.stop()
