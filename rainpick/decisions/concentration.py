"""Lowers the weight of a server that warms up if it is in tables that a few very busy proxies use.

Each director knows only its own proxies, and some of them are far busier than the others. The proxies of one
table could send a server that has just started several times its fair share of all requests.
"""

from __future__ import annotations

from collections import defaultdict

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.table_assignment import TableAssignment
from rainpick.decisions.tables import Table


def update_concentration(fleet: Fleet, assignment: TableAssignment) -> None:
    """Set the concentration factor of each server that warms up, so that it receives at most its fair share.

    The fair share is the part of all requests that corresponds to the server's part of the usable weight.
    """
    for server in fleet.servers.values():
        server.concentration_factor = 1.0
    rates = {table: sum(proxy.request_rate for proxy in table.proxies.values()) for table in fleet.tables}
    weights = table_weights(fleet, assignment)
    total_rate = sum(proxy.request_rate for proxy in fleet.proxies.values())
    usable = [server.effective_weight() for server in fleet.servers.values() if not server.withdrawn]
    proxy_ratio = max(1, fleet.settings.expected_proxies / max(1, len(fleet.proxies)))
    rate_per_weight = total_rate * proxy_ratio / (sum(usable) or 1.0)
    for server in fleet.servers.values():
        if server.percentage and not server.is_warm:
            received_rate = sum(
                rates[table] * assignment.weight(server, table) / (weights[table] or 1.0)
                for table in server.tables
            )
            fair_rate = rate_per_weight * server.effective_weight()
            server.concentration_factor = fair_rate / received_rate if received_rate > fair_rate else 1.0


def table_weights(fleet: Fleet, assignment: TableAssignment) -> dict[Table, float]:
    """Return, by table, the total weight of its servers that are not withdrawn."""
    weights: dict[Table, float] = defaultdict(float)
    for server in fleet.servers.values():
        for table in server.tables:
            weights[table] += 0 if server.withdrawn else assignment.weight(server, table)
    return weights
