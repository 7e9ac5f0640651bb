"""Encoding of SASP weight entries; proxies of the same table share the encoded bytes."""

from __future__ import annotations

from collections import OrderedDict

from rainpick.director.addresses import Key
from rainpick.director.snapshots import Line
from rainpick.sasp.constants import WEIGHT_ENTRY_TYPE
from rainpick.sasp.encoding import encode_member
from rainpick.sasp.messages import Member
from rainpick.sasp.wire import COMPONENT_HEADER, WEIGHT_ENTRY_TAIL

MAX_ENCODED = 256  # tuples of lines with cached bytes
MAX_SERVERS = 65_536  # servers with cached entry prefixes


class WeightEntryEncoder:
    """Encodes lines as SASP weight entries.

    Caches the bytes by the identity of the tuple of lines, because many proxies are sent the same tuple.
    """

    def __init__(self) -> None:
        self.encoded: OrderedDict[int, tuple[tuple[Line, ...], bytes]] = OrderedDict()
        self.prefixes: dict[Key, bytes] = {}

    def encode(self, lines: tuple[Line, ...]) -> bytes:
        """Return the entries of these lines, in the same order."""
        if not lines:
            return b""
        cached = self.encoded.get(id(lines))
        if cached is not None and cached[0] is lines:
            return cached[1]
        pieces: list[bytes] = []
        for server, weight, flags in lines:
            prefix = self.prefixes.get(server)
            if prefix is None:
                prefix = self.encode_prefix(server)
            pieces += (prefix, WEIGHT_ENTRY_TAIL.pack(0, flags, weight))
        data = b"".join(pieces)
        self.encoded[id(lines)] = lines, data
        if len(self.encoded) > MAX_ENCODED:
            self.encoded.popitem(last=False)
        return data

    def encode_prefix(self, server: Key) -> bytes:
        """Return the bytes of an entry that do not depend on the weight."""
        member = encode_member(Member.at(*server))
        length = COMPONENT_HEADER.size + WEIGHT_ENTRY_TAIL.size
        prefix: bytes = COMPONENT_HEADER.pack(WEIGHT_ENTRY_TYPE, length) + member
        if len(self.prefixes) > MAX_SERVERS:
            self.prefixes.clear()
        self.prefixes[server] = prefix
        return prefix
