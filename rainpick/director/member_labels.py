"""Attributes of a server from the rules of the settings and from its SASP label.

A label has the form ``key=value;key=value...``. For each attribute, a rule of ``fleet.servers`` that matches
the server's address takes precedence over the label.
"""

from __future__ import annotations

from typing import NamedTuple

from rainpick.sasp.constants import ReturnCode
from rainpick.sasp.messages import Member
from rainpick.settings.address_pattern import AddressPattern
from rainpick.settings.model import Settings

LABEL_KEYS = ("weight", "zone", "machine", "pod", "boot", "age")
MAX_POD = 65_535


class Description(NamedTuple):
    """The attributes of a server, without its state. Zone and machine are indexes into the settings."""

    weight: float
    zone: int
    machine: int
    pod: int
    boot: str | None  # identifies one start of the process
    age_us: int | None  # time since the start of the process, from the label


class RejectedMemberError(Exception):
    """A member's request is rejected with the SASP return code ``code``; the message states the reason."""

    def __init__(self, code: int, why: str):
        super().__init__(why)
        self.code = code


def parse_label(label: str) -> dict[str, str]:
    """Return the values of a label by key; ``RejectedMemberError`` for an unknown or repeated key."""
    values: dict[str, str] = {}
    for assignment in filter(None, label.split(";")):
        key, equals, value = assignment.partition("=")
        if not equals or key not in LABEL_KEYS or key in values:
            raise RejectedMemberError(
                ReturnCode.NOT_UNDERSTOOD,
                f"label {assignment!r}: expected KEY=VALUE, each key once, of {', '.join(LABEL_KEYS)}",
            )
        values[key] = value
    return values


def index_of(names: tuple[str, ...], name: str | None, kind: str) -> int:
    """Return the index of a zone or machine type, 0 for None; ``ValueError`` for an unknown name."""
    if name is None:
        return 0
    if name not in names:
        raise ValueError(f"{kind} {name!r} is not one of {list(names)}")
    return names.index(name)


class MemberDescriber:
    """Derives the attributes of members from the settings and their labels."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.rules = [(AddressPattern(rule.match), rule) for rule in settings.fleet.servers]

    def describe(self, member: Member) -> Description:
        """Return the attributes of a member; ``RejectedMemberError`` if its label is invalid."""
        values = parse_label(member.label)
        try:
            description = self.combine(member, values)
        except (ValueError, OverflowError) as error:
            raise RejectedMemberError(ReturnCode.NOT_ACCEPTED, f"label {member.label!r}: {error}") from None
        weight, max_weight = description.weight, self.settings.fleet.weight_most
        if not 0 < weight <= max_weight:
            raise RejectedMemberError(
                ReturnCode.NOT_ACCEPTED, f"weight {weight} must be above 0 and at most {max_weight}"
            )
        negative_age = description.age_us is not None and description.age_us < 0
        if not 0 <= description.pod <= MAX_POD or negative_age:
            raise RejectedMemberError(
                ReturnCode.NOT_ACCEPTED, f"label {member.label!r}: pod or age is out of range"
            )
        return description

    def combine(self, member: Member, values: dict[str, str]) -> Description:
        """Combine the attributes of a member.

        An attribute that the first matching rule does not set comes from the label, else it is a default.
        """
        host = member.host()
        rule = next((rule for match, rule in self.rules if match.matches(host, member.port)), None)
        weight = rule.weight if rule and rule.weight is not None else float(values.get("weight", "1"))
        zone = rule.zone if rule and rule.zone is not None else values.get("zone")
        machine = rule.machine if rule and rule.machine is not None else values.get("machine")
        return Description(
            weight,
            index_of(self.settings.zones, zone, "zone"),
            index_of(self.settings.machines, machine, "machine"),
            rule.pod if rule and rule.pod is not None else int(values.get("pod", "0")),
            values.get("boot"),
            int(float(values["age"]) * 1e6) if "age" in values else None,
        )
