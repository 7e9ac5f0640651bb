"""Output of the weights that a director sends to a load balancer by SASP."""

from __future__ import annotations

import json
import time

import click

from rainpick.sasp.constants import (
    CONFIDENT,
    CONTACT,
    NO_CHANGE,
    PUSH,
    QUIESCE,
    SELF_REGISTERED,
    TRUST,
    ReturnCode,
)
from rainpick.sasp.messages import GetWeights, Group, MemberGroup, Registration, SetLbState, WeightGroup
from rainpick.simulated_peers.sasp_client import SaspClient

FIRST_WEIGHTS_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.05
PUSH_TIMEOUT_S = 3600.0
FLAG_NAMES = {
    CONTACT: "contact",
    QUIESCE: "quiesce",
    CONFIDENT: "confident",
    SELF_REGISTERED: "self-registered",
}


def print_weights(address: tuple[str, int], uid: str, group_name: str, follow: bool, as_json: bool) -> None:
    """Join as a load balancer, print the weights and leave. ``follow`` prints changes until Ctrl-C."""
    client = SaspClient(address)
    group = Group(uid, group_name)
    try:
        _join(client, group, follow)
        if not follow:
            _print_groups(_first_weights(client, group), as_json)
            return
        while True:
            for message in client.receive_weights(PUSH_TIMEOUT_S):
                _print_groups(message.groups, as_json)
    except KeyboardInterrupt:
        return
    finally:
        client.close()


def _join(client: SaspClient, group: Group, follow: bool) -> None:
    """Register as a load balancer. With ``follow`` the director pushes changed weights."""
    flags = TRUST | (PUSH | NO_CHANGE if follow else 0)
    requests: tuple[SetLbState | Registration, ...] = (
        SetLbState(group.uid, flags=flags),
        Registration((MemberGroup(group),), True),
    )
    for request in requests:
        reply = client.request(request)
        if reply.code != ReturnCode.SUCCESS:
            raise ConnectionAbortedError(f"{type(request).__name__} is refused: {reply.code:#04x}")


def _first_weights(client: SaspClient, group: Group) -> tuple[WeightGroup, ...]:
    """Poll until there are weights, at most for ``FIRST_WEIGHTS_TIMEOUT_S``.

    A new load balancer gets no weights before the next step of the decisions.
    """
    deadline = time.monotonic() + FIRST_WEIGHTS_TIMEOUT_S
    groups = _poll(client, group)
    while not any(weights.entries for weights in groups) and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        groups = _poll(client, group)
    return groups


def _poll(client: SaspClient, group: Group) -> tuple[WeightGroup, ...]:
    reply = client.request(GetWeights((group,)))
    return reply.groups


def _print_groups(groups: tuple[WeightGroup, ...], as_json: bool) -> None:
    """Print the weight entries of a message, one per line or all as one line of JSON."""
    rows = [(*entry.member.key(), entry.weight, entry.flags) for group in groups for entry in group.entries]
    if as_json:
        entries = [
            {"server": f"{host}:{port}", "weight": weight, "flags": _flag_names(flags).split()}
            for host, port, weight, flags in rows
        ]
        click.echo(json.dumps(entries))
        return
    for host, port, weight, flags in rows:
        click.echo(f"{host}:{port:<6} {weight:>6}  {_flag_names(flags)}")


def _flag_names(flags: int) -> str:
    """Return the names of the flags of a weight entry, ``-`` if no flag is set."""
    return " ".join(name for flag, name in FLAG_NAMES.items() if flags & flag) or "-"
