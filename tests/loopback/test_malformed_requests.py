"""Values that no sound operator or file sends to the daemon, which refuses them and goes on."""

import json
import os

import pytest

from rainpick.director.list_files import read_cache, read_list
from rainpick.http1.client import Client
from rainpick.settings import SettingsError, parse
from tests.loopback.harness import SETTINGS, MemberClient, ProxyClient, running_director
from tests.node.test_malformed_values import ALL
from tests.waiting import wait_until

SUCCESS, CLIENT_ERRORS = 200, range(400, 500)


def post(client, action, body):
    """Post the parameters of a table action; return the status code and the body of the response."""
    status, _, answer = client.request("POST", f"/tables/{action}", body)
    return status, answer


def test_no_value_in_a_table_action_ends_the_daemon():
    """Guards against an exception of the event loop: a number that no integer can hold ended the process."""
    with running_director() as daemon:
        MemberClient(daemon, 9001, 9002)
        proxy = ProxyClient(daemon, "edge-1")
        proxy.until(lambda weights: len(weights) == 2)
        client = Client(*daemon.status)
        wait_until(lambda: post(client, "show", b'{"table":0}')[0] == SUCCESS, "the first table")
        for action in ("show", "pin", "rollback", "release"):
            for field in ("table", "version", "who", "why"):
                for text in ALL.values():
                    request = {"table": 0, "who": "staff", "why": "test"} | {field: "@"}
                    body = json.dumps(request).replace('"@"', text).encode()
                    status, answer = post(client, action, body)
                    assert status == SUCCESS or status in CLIENT_ERRORS, (action, field, text[:20], answer)
        client.close()


LIST_ENTRY = {
    "address": "127.0.0.1:9001",
    "weight": 1.0,
    "zone": "a",
    "pod": 0,
    "state": "ready",
    "age": "1s",
}
LIST_VALUES = ALL | {
    "long age": '"1%sh"' % (400 * "0"),
    "Infinity": "Infinity",
    "NaN": "NaN",
    "superscript port": '"127.0.0.1:²"',
}


@pytest.mark.parametrize("text", LIST_VALUES.values(), ids=LIST_VALUES)
@pytest.mark.parametrize("field", LIST_ENTRY)
def test_a_malformed_list_file_is_refused_with_the_documented_error(tmp_path, field, text):
    """Guards against the end of a running daemon, which reads the file again when it is modified."""
    path = tmp_path / "list.json5"
    path.write_text(json.dumps({"servers": [LIST_ENTRY | {field: "@"}]}).replace('"@"', text))
    settings = parse(SETTINGS % {"sections": "", "director": "", "mqtt": ""})
    try:
        (entry,) = read_list(str(path), settings, 10**12)
    except SettingsError as error:
        assert str(path) in str(error)
    else:
        assert 0 < entry.weight <= settings.fleet.weight_most


CACHE_ROW = ["127.0.0.1", 9001, 1.0, "a", "any", 0, 5_000_000, False]


@pytest.mark.parametrize("text", LIST_VALUES.values(), ids=LIST_VALUES)
@pytest.mark.parametrize("position", [None, *range(len(CACHE_ROW))])
def test_a_spoilt_cache_is_not_used_and_does_not_keep_the_daemon_from_starting(tmp_path, position, text):
    """Guards against a daemon that cannot be started again: the cache may be what a failing disk left."""
    path = tmp_path / "cache.json"
    settings = parse(SETTINGS % {"sections": "", "director": "", "mqtt": ""})
    row = [*CACHE_ROW[:4], settings.machines[0], *CACHE_ROW[5:]]
    assert position is None or "@" not in row
    rows = "@" if position is None else [[*row[:position], "@", *row[position + 1 :]]]
    document = json.dumps({"format": 1, "servers": rows}).replace('"@"', text)
    path.write_text(document, errors="surrogatepass")
    for entry in read_cache(str(path), settings, 10**12, 10**15) or ():
        assert 0 < entry.weight < float("inf")
        assert isinstance(entry.started_us, int) and entry.started_us >= 0
        assert 0 <= entry.key[1] <= 65_535


def test_a_list_file_that_vanishes_while_it_is_checked_changes_nothing(tmp_path, monkeypatch):
    """Guards against the end of the daemon if the file is replaced between two system calls."""
    path = tmp_path / "list.json5"
    path.write_text('{servers: [{address: "127.0.0.1:9001"}]}')
    with running_director(f'fleet: {{list_file: "{path}"}}') as daemon:
        real_stat = os.stat

        def stat(name, *arguments, **options):
            if str(name) == str(path):
                raise FileNotFoundError(2, "No such file or directory", str(path))
            return real_stat(name, *arguments, **options)

        monkeypatch.setattr(os, "stat", stat)
        monkeypatch.setattr(os.path, "exists", lambda name: True)
        assert not daemon.list_file_changed()
        daemon.read_list_file()
