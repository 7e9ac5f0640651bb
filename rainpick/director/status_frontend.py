"""The HTTP status frontend: ``/status`` and the actions on ``/tables``, answered by the event loop."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, TypeGuard, get_args

from rainpick.director.inbox import Inbox
from rainpick.director.messages import StatusQuery, TableAction, TableActionRequest
from rainpick.http1.messages import Request, Response

TABLE_ACTIONS: frozenset[str] = frozenset(get_args(TableAction))


def error_answer(status: int, why: str) -> Response:
    """Return an error response with a JSON object."""
    return Response(status, json.dumps({"error": why}).encode())


def is_table_action(name: str) -> TypeGuard[TableAction]:
    """Return whether this is the name of an action on tables."""
    return name in TABLE_ACTIONS


def answer_table_request(inbox: Inbox, action: str, request: Request) -> Response:
    """Answer POST /tables/ACTION, whose body has the parameters as a JSON object."""
    if not is_table_action(action):
        return error_answer(404, "show, pin, rollback and release can be done")
    if request.method != "POST":
        return error_answer(405, "POST is wanted")
    try:
        parameters: Any = json.loads(request.body)
        if not isinstance(parameters, dict):
            raise ValueError("an object is wanted")
    except RecursionError:
        return error_answer(400, "nested too deeply")
    except ValueError as error:
        return error_answer(400, str(error))
    result = inbox.query(TableActionRequest(action, parameters))
    if result is None:
        return error_answer(503, "the director is busy")
    return Response(result.status, json.dumps(result.document).encode())


def answer_status_request(inbox: Inbox, request: Request) -> Response:
    """Answer GET /status with the status document."""
    if request.method != "GET":
        return error_answer(405, "GET is wanted")
    document = inbox.query(StatusQuery())
    if document is None:
        return error_answer(503, "the director is busy")
    return Response(200, json.dumps(document).encode())


def status_handler(inbox: Inbox) -> Callable[[Request], Response]:
    """Return the request handler for the HTTP server of this frontend."""

    def handle(request: Request) -> Response:
        path = request.path.partition("?")[0]
        if path.startswith("/tables/"):
            return answer_table_request(inbox, path.removeprefix("/tables/"), request)
        if path == "/status":
            return answer_status_request(inbox, request)
        return error_answer(404, "/status and /tables/... are served here")

    return handle
