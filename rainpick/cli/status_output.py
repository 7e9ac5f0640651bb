"""Output of a director's state as tables."""

from __future__ import annotations

from rich.table import Table

from rainpick.cli.status_front import DirectorStatus, ProxyStatus, ServerStatus
from rainpick.cli.terminal import print_rich


def print_status(state: DirectorStatus) -> None:
    """Print the state; until the decisions begin, only one line with figures of the process."""
    print_rich(
        f"director {state['director']}: {state['phase']}, up {state['up_s']:.0f} s, "
        f"{state['threads']} threads, {state['streams']['open']} streams"
    )
    if "channel" not in state:
        return
    channel, reports = state["channel"], state["reports"]
    print_rich(
        f"channel: {channel['lines']} lines wait, {channel['lines_most']} at most so far, "
        f"{channel['limit']} may; {channel['blocked']} proxies take nothing by themselves"
    )
    print_rich("reports: " + ", ".join(f"{count} {name}" for name, count in reports.items()))
    print_rich(_servers_table(state["servers"]))
    print_rich(_proxies_table(state["proxies"]))


def _servers_table(servers: list[ServerStatus]) -> Table:
    table = Table("server", "state", "listed", "zone", "machine", "pod", "age", "advice by table")
    for server in servers:
        weights = " ".join(f"{number}:{weight}" for number, weight in sorted(server["tables"].items()))
        age = "" if server["age_s"] is None else f"{server['age_s']:.0f} s"
        state = server["state"] + (" (withdrawn)" if server["withdrawn"] else "")
        table.add_row(
            server["address"],
            state,
            f"{server['weight']:g}",
            server["zone"],
            server["machine"],
            str(server["pod"]),
            age,
            weights,
        )
    return table


def _proxies_table(proxies: list[ProxyStatus]) -> Table:
    table = Table("proxy", "number", "table", "calls a second", "how", "peer")
    for proxy in proxies:
        delivery = ("push" if proxy["push"] else "asks") + (", takes nothing" if proxy["blocked"] else "")
        table_number = "standing" if proxy["table"] is None else str(proxy["table"])
        table.add_row(
            proxy["uid"], str(proxy["number"]), table_number, f"{proxy['rate']:g}", delivery, proxy["peer"]
        )
    return table
