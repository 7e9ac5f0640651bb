"""The five rules, judged from what passed on sockets and nothing else."""

from rainpick.rules.audit import Breach, Limits, Rule, Verdict, audit, read_logs

__all__ = ["Breach", "Limits", "Rule", "Verdict", "audit", "read_logs"]
