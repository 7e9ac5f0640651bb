"""Numbers, zones and usual request rates of proxies by their LB UIDs. Does no I/O."""

from __future__ import annotations

import re
from fnmatch import fnmatchcase
from typing import NamedTuple
from zlib import crc32

from rainpick.settings import Settings

MAX_NUMBERS = 65_000  # ``Director`` identifies proxies by numbers below 65536
LAST_DIGITS = re.compile(r"(\d{1,5})\D*$")


class ProxyAttributes(NamedTuple):
    """The zone and rate of a proxy, from the settings."""

    zone: int  # index into the zones of the settings
    rate: float  # usual requests a second


class Proxies:
    """Assigns numbers to proxies, the same ones at every director and in every incarnation.

    A proxy's table is derived from its number. A proxy gets the last number in its UID, because fleets
    usually number their proxies. If the UID contains no number, or one that is taken or too large, the proxy
    gets the first free number from a hash of the UID on.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.numbers: dict[str, int] = {}
        self.uids: dict[int, str] = {}  # LB UIDs by proxy number

    def number(self, uid: str) -> int:
        """Return the number of a proxy; it is assigned at the first call."""
        if uid not in self.numbers:
            digits = LAST_DIGITS.search(uid)
            number = int(digits[1]) if digits else MAX_NUMBERS
            if number >= MAX_NUMBERS or number in self.uids:
                number = crc32(uid.encode()) % MAX_NUMBERS
                while number in self.uids:
                    number = (number + 1) % MAX_NUMBERS
            self.numbers[uid] = number
            self.uids[number] = uid
        return self.numbers[uid]

    def free(self, uid: str) -> None:
        """Release the number of a proxy that is no longer joined, if over half of the numbers are in use."""
        if len(self.numbers) > MAX_NUMBERS // 2:
            number = self.numbers.pop(uid)
            self.uids.pop(number, None)

    def attributes(self, uid: str) -> ProxyAttributes:
        """Return zone and usual rate from the first match in ``proxies.known``, else the defaults."""
        proxies = self.settings.proxies
        known = next((entry for entry in proxies.known if fnmatchcase(uid, entry.match)), None)
        zone = known.zone if known and known.zone is not None else proxies.zone
        rate = known.rate if known and known.rate is not None else proxies.rate
        return ProxyAttributes(self.settings.zone_index(zone), rate)
