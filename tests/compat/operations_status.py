"""The operations that the cases in ``wire/status.jsonl`` name: responses of a director's status frontend."""

import json
from tempfile import TemporaryDirectory

from rainpick.http1.client import Client
from tests.loopback.harness import MemberClient, ProxyClient, running_director
from tests.waiting import wait_until

BY_NUMBER_OR_ADDRESS = {"tables", "lines"}  # fields with maps whose keys are not compared


def json_structure(value, name=""):
    """Replace the values of decoded JSON by their types. Integers and other numbers are one type."""
    if isinstance(value, dict):
        if name in BY_NUMBER_OR_ADDRESS:
            return ["map of", *sorted({json.dumps(json_structure(item)) for item in value.values()})]
        return {key: json_structure(item, key) for key, item in value.items()}
    if isinstance(value, list):
        return ["list of", *sorted({json.dumps(json_structure(item)) for item in value})]
    if value is None or isinstance(value, bool):
        return json.dumps(value) if value is None else "truth"
    return "number" if isinstance(value, int | float) else "text"


def send_request(client, method, path, fields=None):
    status, _, body = client.request(method, path, b"" if fields is None else json.dumps(fields).encode())
    return status, json.loads(body)


def with_director(query):
    """Call ``query`` with an HTTP client of a director's status frontend.

    The director records, and a proxy has received the weights of two servers.
    """
    with (
        TemporaryDirectory() as folder,
        running_director(f'record: {{folder: "{folder}", sync: false}}', mqtt=True) as daemon,
    ):
        client = Client(*daemon.status)
        MemberClient(daemon, 9001, 9002)
        ProxyClient(daemon, "edge-1").until(lambda weights: len(weights) == 2)
        wait_until(
            lambda: [row["proxies"] for row in send_request(client, "GET", "/status")[1]["tables"]] == [1],
            "a table",
        )
        try:
            return query(client)
        finally:
            client.close()


def status_keys(_):
    return with_director(
        lambda client: maps_as_pairs(json_structure(send_request(client, "GET", "/status")[1]))
    )


def maps_as_pairs(tree):
    """Convert maps to lists of pairs, so that the order of keys is compared."""
    if isinstance(tree, dict):
        return [[key, maps_as_pairs(item)] for key, item in tree.items()]
    if isinstance(tree, list):
        return ["list", *map(maps_as_pairs, tree)]
    return tree


ACTION_FIELDS = {
    "show": {"table": None},
    "pin": {"table": None, "who": "staff", "why": "a test"},
    "rollback": {"table": None, "version": None, "who": "staff", "why": "a test"},
    "release": {"table": None, "who": "staff", "why": "a test"},
}


def action_keys(actions):
    """Return status code and structure of the responses to consecutive actions on a table."""

    def query(client):
        number = send_request(client, "GET", "/status")[1]["tables"][0]["table"]
        responses = [
            send_request(client, "POST", f"/tables/{action}", ACTION_FIELDS[action] | {"table": number})
            for action in actions
        ]
        return [[status, maps_as_pairs(json_structure(response))] for status, response in responses]

    return with_director(query)


def error_responses(requests):
    """Return status code, content type and body of the responses to invalid requests."""

    def query(client):
        responses = [client.request(method, path, body) for method, path, body in requests]
        return [[status, headers.get("content-type"), body] for status, headers, body in responses]

    return with_director(query)


OPERATIONS = {"status keys": status_keys, "deed keys": action_keys, "refusals": error_responses}
ERRORS = {}
