"""What the status front of a running director answers today: keys, kinds of values, refusals."""

import json
from tempfile import TemporaryDirectory

from rainpick.http1.client import Client
from tests.loopback.harness import MemberEnd, ProxyEnd, running
from tests.waiting import until

BY_NUMBER_OR_ADDRESS = {"tables", "lines"}  # maps under these names have keys that are no words of ours


def kinds(value, name=""):
    """A tree's keys, with the kinds of values in place of values. Whole numbers and others are one kind."""
    if isinstance(value, dict):
        if name in BY_NUMBER_OR_ADDRESS:
            return ["map of", *sorted({json.dumps(kinds(item)) for item in value.values()})]
        return {key: kinds(item, key) for key, item in value.items()}
    if isinstance(value, list):
        return ["list of", *sorted({json.dumps(kinds(item)) for item in value})]
    if value is None or isinstance(value, bool):
        return json.dumps(value) if value is None else "truth"
    return "number" if isinstance(value, int | float) else "text"


def asked(client, method, path, words=None):
    status, _, body = client.call(method, path, b"" if words is None else json.dumps(words).encode())
    return status, json.loads(body)


def with_director(ask):
    """Ask a director that has two servers and a proxy which holds both, and that records its day."""
    with (
        TemporaryDirectory() as folder,
        running(f'record: {{folder: "{folder}", sync: false}}', mqtt=True) as daemon,
    ):
        client = Client(*daemon.status)
        MemberEnd(daemon, 9001, 9002)
        ProxyEnd(daemon, "edge-1").until(lambda held: len(held) == 2)
        until(
            lambda: [row["proxies"] for row in asked(client, "GET", "/status")[1]["tables"]] == [1], "a table"
        )
        try:
            return ask(client)
        finally:
            client.close()


def status_keys(_):
    return with_director(lambda client: as_listed(kinds(asked(client, "GET", "/status")[1])))


def as_listed(tree):
    """Maps as lists of pairs, so that the order of keys counts."""
    if isinstance(tree, dict):
        return [[key, as_listed(item)] for key, item in tree.items()]
    if isinstance(tree, list):
        return ["list", *map(as_listed, tree)]
    return tree


DEEDS = {
    "show": {"table": None},
    "pin": {"table": None, "who": "staff", "why": "a test"},
    "rollback": {"table": None, "version": None, "who": "staff", "why": "a test"},
    "release": {"table": None, "who": "staff", "why": "a test"},
}


def deed_keys(deeds):
    """The answers to deeds on a table, one after another."""

    def ask(client):
        number = asked(client, "GET", "/status")[1]["tables"][0]["table"]
        found = [asked(client, "POST", f"/tables/{deed}", DEEDS[deed] | {"table": number}) for deed in deeds]
        return [[status, as_listed(kinds(answer))] for status, answer in found]

    return with_director(ask)


def refusals(requests):
    """Status and body of what the front does not do."""

    def ask(client):
        found = [client.call(method, path, body) for method, path, body in requests]
        return [[status, headers.get("content-type"), body] for status, headers, body in found]

    return with_director(ask)


OPERATIONS = {"status keys": status_keys, "deed keys": deed_keys, "refusals": refusals}
ERRORS = {}
