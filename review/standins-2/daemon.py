"""A daemon (``rainpick run``) as a process, and small clients of its frontends."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any

from harness import LOOPBACK, Case, free_ports, wait_for
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest

DELTA = 1


class Daemon:
    """A daemon with its settings; ``ports`` are those of its frontends by name."""

    def __init__(self, case: Case, settings: dict[str, Any], limits: str = ""):
        self.case = case
        names = ("sasp", "otlp", "status", "mqtt")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        listen = {front: f"{LOOPBACK}:{port}" for front, port in self.ports.items()}
        self.path = case.folder / "director.json5"
        self.path.write_text(json.dumps({"listen": listen} | settings))
        self.command = f"{limits}exec .venv/bin/python -m rainpick run --config {self.path}"
        self.process = self.start()

    def start(self) -> Any:
        """Start the program and wait until it serves."""
        self.process = self.case.start(self.command, "director.log")
        wait_for(self.status, "the status of the daemon", 30)
        return self.process

    def status(self, timeout_s: float = 3.0) -> dict[str, Any] | None:
        """Return the status document; None if there is no answer."""
        answer = self.exchange("status", "GET", "/status", b"", "application/json", timeout_s)
        return json.loads(answer[1]) if answer and answer[0] == 200 else None

    def table_action(self, action: str, **parameters: Any) -> tuple[int, dict[str, Any]]:
        """Carry out an operator's action on a table; return status and document."""
        body = json.dumps(parameters).encode()
        answer = self.exchange("status", "POST", f"/tables/{action}", body, "application/json")
        return (answer[0], json.loads(answer[1])) if answer else (0, {})

    def exchange(
        self, front: str, method: str, path: str, body: bytes, kind: str, timeout_s: float = 3.0
    ) -> tuple[int, bytes] | None:
        """Exchange one HTTP request on a connection of its own; None if there is no answer."""
        client = http.client.HTTPConnection(LOOPBACK, self.ports[front], timeout=timeout_s)
        try:
            client.request(method, path, body, {"content-type": kind})
            response = client.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            client.close()

    def report(self, reporter: str, timeout_s: float = 3.0) -> int | None:
        """Send one load report over OTLP; return the HTTP status, None if there is no answer."""
        request = ExportMetricsServiceRequest()
        resource = request.resource_metrics.add()
        attribute = resource.resource.attributes.add()
        attribute.key, attribute.value.string_value = "service.instance.id", reporter
        metric = resource.scope_metrics.add().metrics.add()
        metric.name = "rainpick.calls"
        metric.sum.aggregation_temporality, metric.sum.is_monotonic = DELTA, True
        point = metric.sum.data_points.add()
        point.time_unix_nano = time.time_ns()
        point.start_time_unix_nano, point.as_int = point.time_unix_nano - 1_000_000_000, 12
        for key, value in (("rainpick.route", "lookup"), ("rainpick.outcome", "answered")):
            pair = point.attributes.add()
            pair.key, pair.value.string_value = key, value
        body = request.SerializeToString()
        answer = self.exchange("otlp", "POST", "/v1/metrics", body, "application/x-protobuf", timeout_s)
        return answer[0] if answer else None
