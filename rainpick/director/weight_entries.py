"""SASP weight entries as bytes; the proxies of one table share them."""

from __future__ import annotations

from collections import OrderedDict

from rainpick.director.addresses import Key
from rainpick.director.snapshots import Line
from rainpick.sasp import codec

MAX_ENCODED = 256  # line tuples whose bytes are cached
MAX_SERVERS = 65_536  # whose first bytes are cached


class WeightEntryEncoder:
    """Encodes lines; caches the bytes by the identity of the tuple, as many proxies are sent the same one."""

    def __init__(self) -> None:
        self.encoded: OrderedDict[int, tuple[tuple[Line, ...], bytes]] = OrderedDict()
        self.heads: dict[Key, bytes] = {}

    def encode(self, lines: tuple[Line, ...]) -> bytes:
        """The entries of these lines, in their order."""
        if not lines:
            return b""
        cached = self.encoded.get(id(lines))
        if cached is not None and cached[0] is lines:
            return cached[1]
        pieces: list[bytes] = []
        for server, weight, flags in lines:
            head = self.heads.get(server)
            if head is None:
                head = self.encode_head(server)
            pieces += (head, codec.ENTRY_TAIL.pack(0, flags, weight))
        data = b"".join(pieces)
        self.encoded[id(lines)] = lines, data
        if len(self.encoded) > MAX_ENCODED:
            self.encoded.popitem(last=False)
        return data

    def encode_head(self, server: Key) -> bytes:
        """The bytes of an entry that are the same whatever the weight."""
        member = codec.write_member(codec.Member.at(*server))
        length = codec.PIECE.size + codec.ENTRY_TAIL.size
        head: bytes = codec.PIECE.pack(codec.WEIGHT_ENTRY, length) + member
        if len(self.heads) > MAX_SERVERS:
            self.heads.clear()
        self.heads[server] = head
        return head
