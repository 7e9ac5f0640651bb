"""What is known of a server beside its state: from the rules of the settings and from its SASP label.

A label is ``key=value;key=value...``. A rule of ``fleet.servers`` that covers the server's address comes
before the label, attribute by attribute.
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
    """What is known of a server beside its state. ``zone`` and ``machine`` are indexes into the settings."""

    weight: float
    zone: int
    machine: int
    pod: int
    boot: str | None  # distinguishes one start of the process from the next
    age_us: int | None  # since its start, as the label says


class RejectedMemberError(Exception):
    """A member's request that can't be carried out: SASP return code and reason."""

    def __init__(self, code: int, why: str):
        super().__init__(why)
        self.code = code


def parse_label(label: str) -> dict[str, str]:
    """The values of a label by key; ``RejectedMemberError`` for a key that is unknown or repeated."""
    values: dict[str, str] = {}
    for assignment in filter(None, label.split(";")):
        key, equals, value = assignment.partition("=")
        if not equals or key not in LABEL_KEYS or key in values:
            raise RejectedMemberError(
                ReturnCode.NOT_UNDERSTOOD,
                f"label {assignment!r}: known once each are {', '.join(LABEL_KEYS)}",
            )
        values[key] = value
    return values


def index_of(names: tuple[str, ...], name: str | None, kind: str) -> int:
    """The index of a zone or machine type, 0 for None; ``ValueError`` for an unknown name."""
    if name is None:
        return 0
    if name not in names:
        raise ValueError(f"{kind} {name!r} is not one of {list(names)}")
    return names.index(name)


class MemberDescriber:
    """Describes members by the settings and their labels."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.rules = [(AddressPattern(rule.match), rule) for rule in settings.fleet.servers]

    def describe(self, member: Member) -> Description:
        """The description of a member; ``RejectedMemberError`` if its label makes no sense."""
        values = parse_label(member.label)
        try:
            description = self.combine(member, values)
        except (ValueError, OverflowError) as error:
            raise RejectedMemberError(ReturnCode.NOT_ACCEPTED, f"label {member.label!r}: {error}") from None
        weight, max_weight = description.weight, self.settings.fleet.weight_most
        if not 0 < weight <= max_weight:
            raise RejectedMemberError(
                ReturnCode.NOT_ACCEPTED, f"weight {weight} is not over 0 and at most {max_weight}"
            )
        negative_age = description.age_us is not None and description.age_us < 0
        if not 0 <= description.pod <= MAX_POD or negative_age:
            raise RejectedMemberError(
                ReturnCode.NOT_ACCEPTED, f"label {member.label!r}: pod or age out of range"
            )
        return description

    def combine(self, member: Member, values: dict[str, str]) -> Description:
        """Each attribute by the first rule that covers the address, else by the label, else its default."""
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
