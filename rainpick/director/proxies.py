"""Who the proxies are: numbers, zones and rates by LB UID. Free of I/O."""

from __future__ import annotations

import re
from fnmatch import fnmatchcase
from zlib import crc32

from rainpick.settings import Settings

NUMBERS = 65_000  # proxies are whole numbers under 65536 to the decisions
LAST_DIGITS = re.compile(r"(\d{1,5})\D*$")


class Proxies:
    """Numbers proxies so that every director, and each life of one, gives a proxy the same number.

    A proxy's table follows from its number. A UID that ends in a number has that one, as fleets count their
    proxies; any other, or one whose number is taken, has the next free one after a hash of it.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.numbers: dict[str, int] = {}
        self.taken: dict[int, str] = {}

    def number(self, uid: str) -> int:
        if uid not in self.numbers:
            digits = LAST_DIGITS.search(uid)
            number = int(digits[1]) if digits else NUMBERS
            if number >= NUMBERS or number in self.taken:
                number = crc32(uid.encode()) % NUMBERS
                while number in self.taken:
                    number = (number + 1) % NUMBERS
            self.numbers[uid], self.taken[number] = number, uid
        return self.numbers[uid]

    def free(self, uid: str) -> None:
        """Nobody of this UID is joined; with very many of them numbers would run out."""
        if len(self.numbers) > NUMBERS // 2:
            self.taken.pop(self.numbers.pop(uid), None)

    def place(self, uid: str) -> tuple[int, float]:
        """Zone, and the calls a second it usually gets as far as the settings know."""
        proxies = self.settings.proxies
        known = next((known for known in proxies.known if fnmatchcase(uid, known.match)), None)
        zone = known.zone if known and known.zone is not None else proxies.zone
        rate = known.rate if known and known.rate is not None else proxies.rate
        return self.settings.zone_of(zone), rate
