"""The document that ``/status`` serves as JSON. It is built in the event loop's thread."""

from __future__ import annotations

import _thread
from dataclasses import dataclass
from typing import Any, cast

from rainpick.director.addresses import Key, format_address
from rainpick.director.context import Context
from rainpick.director.engine import Engine
from rainpick.director.inbox import Inbox
from rainpick.director.list_follower import STATE_NAMES, ListFollower
from rainpick.director.messages import StatusQuery
from rainpick.director.mqtt_frontend import MqttFrontend
from rainpick.director.report_intake import ReportIntake
from rainpick.director.sessions import ProxySession, Sessions
from rainpick.director.table_actions import table_row
from rainpick.director.tables import Tables


@dataclass(slots=True)
class StatusReader:
    """Builds the status document from the parts of a director."""

    context: Context
    inbox: Inbox
    sessions: Sessions
    intake: ReportIntake
    mqtt: MqttFrontend
    follower: ListFollower
    started_us: int

    def handle(self, query: StatusQuery) -> None:
        """Answer a query of the status frontend."""
        query.reply(self.read())

    def read(self) -> dict[str, Any]:
        """Return the current status. External tools depend on the keys and their order."""
        engine = self.context.engine
        document = self.base_sections()
        if engine is None:
            return document
        document["engine"] = engine_section(engine)
        document["channel"] = channel_section(engine, self.context.settings.channel.pending_lines)
        document["servers"] = self.servers(engine)
        document["proxies"] = [
            self.proxy_row(engine.tables, session) for _, session in sorted(self.sessions.by_uid.items())
        ]
        recorder, pins = self.follower.recorder, self.follower.pins
        if recorder is not None:
            document["record"] = {"steps": recorder.steps, "lost": recorder.lost}
        document["notes"] = list(engine.notes)
        document["epoch"] = self.context.epoch
        document["subscribers"] = self.mqtt.status()
        if pins is not None:
            document["tables"] = [table_row(engine, pins, number) for number in sorted(engine.tables.lines)]
        return document

    def base_sections(self) -> dict[str, Any]:
        """Return the sections that are also available before ``Director`` has started."""
        counts, times, aggregator = self.sessions.counts, self.inbox.waiting_times, self.intake.aggregator
        up_us = self.context.clock() - self.started_us
        return {
            "director": self.context.settings.director.number,
            "phase": "settling" if self.context.engine is None else "deciding",
            "up_s": round(up_us / 1e6, 3),
            "threads": _thread._count(),
            "streams": {
                "open": len(self.sessions.streams),
                "refused": counts.rejected,
                "ended": counts.ended,
                "let_go": counts.disconnected,
                "replaced": counts.replaced,
                "reports": self.intake.reports,
            },
            "inbox": {
                "waiting": len(self.inbox),
                "count": times.count,
                "sum_us": times.sum_us,
                "most_us": times.max_us,
            },
            "reports": {**aggregator.verdicts, "told": aggregator.forwarded_reports},
        }

    def servers(self, engine: Engine) -> list[dict[str, Any]]:
        """Return a row for each listed server."""
        names, now = self.context.settings, self.context.clock()
        weights = weights_by_server(engine.tables)
        listed = [(cast(Key, entry.address), entry) for entry in self.follower.membership.published()]
        return [
            {
                "address": format_address(server),
                "state": STATE_NAMES[entry.state],
                "weight": entry.weight,
                "zone": names.zones[entry.zone],
                "machine": names.machines[entry.machine_type],
                "pod": entry.pod,
                "age_s": round((now - entry.started_us) / 1e6, 1) if entry.started_us else None,
                "withdrawn": server in engine.tables.withdrawn,
                "tables": weights.get(server, {}),
            }
            for server, entry in listed
        ]

    def proxy_row(self, tables: Tables, session: ProxySession) -> dict[str, Any]:
        """Return the row of one proxy session."""
        joined = tables.proxies.get(session.number)
        return {
            "uid": session.uid,
            "number": session.number,
            "joined": session.joined,
            "table": joined.table if joined is not None else None,
            "push": session.accepts_push,
            "blocked": session.blocked_since_us is not None,
            "peer": session.stream.peer,
            "rate": round(self.intake.aggregator.rates.per_s.get(session.uid, 0.0), 2),
        }


def weights_by_server(tables: Tables) -> dict[Key, dict[str, int]]:
    """Return the 16-bit weights set by ``Director``, by server and table number; 0 while withdrawn."""
    weights: dict[Key, dict[str, int]] = {}
    for number, lines in tables.lines.items():
        for server, weight in lines.items():
            shown = 0 if server in tables.withdrawn else tables.scale(weight)
            weights.setdefault(server, {})[str(number)] = shown
    return weights


def engine_section(engine: Engine) -> dict[str, int]:
    """Return the counters of the engine since it started."""
    stepper = engine.stepper
    return {
        "steps": stepper.step_count,
        "events": stepper.events_handled,
        "orders": stepper.commands_issued,
        **vars(engine.counts),
    }


def channel_section(engine: Engine, limit: int) -> dict[str, int]:
    """Return the state of the channel; ``limit`` is ``Director``'s limit on pending lines."""
    channel = engine.channel
    return {
        "lines": channel.lines,
        "lines_most": channel.max_pending_lines,
        "limit": limit,
        "messages": len(channel.waiting),
        "blocked": len(channel.blocked),
        "held_back": channel.message_delays,
    }
