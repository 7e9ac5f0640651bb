"""Numbers, zones and usual rates of proxies by their LB UIDs. Free of I/O."""

from __future__ import annotations

import re
from fnmatch import fnmatchcase
from typing import NamedTuple
from zlib import crc32

from rainpick.settings import Settings

MAX_NUMBERS = 65_000  # to the decisions, proxies are whole numbers under 65536
LAST_DIGITS = re.compile(r"(\d{1,5})\D*$")


class ProxyPlace(NamedTuple):
    """What the settings know of a proxy."""

    zone: int  # index
    rate: float  # usual requests a second


class Proxies:
    """Numbers proxies so that every director, and each incarnation of one, gives a proxy the same number.

    A proxy's table follows from its number. A UID that ends in a number has that one, as fleets count their
    proxies; any other, or one whose number is taken, has the next free one after a hash of it.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.numbers: dict[str, int] = {}
        self.uids: dict[int, str] = {}  # by number

    def number(self, uid: str) -> int:
        """The number of a proxy; assigned when it is first asked for."""
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
        """No proxy of this UID is joined: free its number if they become scarce."""
        if len(self.numbers) > MAX_NUMBERS // 2:
            number = self.numbers.pop(uid)
            self.uids.pop(number, None)

    def place(self, uid: str) -> ProxyPlace:
        """Zone and usual rate by the first entry of ``proxies.known`` that matches, else the defaults."""
        proxies = self.settings.proxies
        known = next((entry for entry in proxies.known if fnmatchcase(uid, entry.match)), None)
        zone = known.zone if known and known.zone is not None else proxies.zone
        rate = known.rate if known and known.rate is not None else proxies.rate
        return ProxyPlace(self.settings.zone_index(zone), rate)
