"""Audits a simulated day against the five rules, using only the traffic that its peers logged."""

from rainpick.rules.audit import audit
from rainpick.rules.logs import read_logs
from rainpick.rules.verdict import Breach, Limits, Rule, Verdict

__all__ = ["Breach", "Limits", "Rule", "Verdict", "audit", "read_logs"]
