"""Decodes request bodies; their size is limited after decompression, too."""

from __future__ import annotations

import zlib
from http import HTTPStatus

READ_SIZE = 65_536  # bytes


class BodyError(Exception):
    """A rejected request body; ``status`` is the status code of the response."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


def decode_body(body: bytes, content_encoding: str, max_bytes: int) -> bytes:
    """Decode the content encoding; raise ``BodyError`` if it is unsupported or the body is malformed."""
    if content_encoding == "gzip":
        return decompress(body, max_bytes)
    if content_encoding != "identity":
        raise BodyError(
            HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
            f"content-encoding {content_encoding!r} is not known; gzip is",
        )
    return body


def decompress(body: bytes, max_bytes: int) -> bytes:
    """Decompress gzip to at most ``max_bytes``, so that a small body cannot take up much memory."""
    decompressor = zlib.decompressobj(zlib.MAX_WBITS | 16)  # 16: gzip header and trailer
    try:
        data = decompressor.decompress(body, max_bytes + 1)
    except zlib.error as error:
        raise BodyError(HTTPStatus.BAD_REQUEST, f"not gzip: {error}") from None
    if len(data) > max_bytes:
        raise BodyError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"over {max_bytes} bytes unpacked")
    if not decompressor.eof:
        raise BodyError(HTTPStatus.BAD_REQUEST, "the gzip stream is cut off")
    return data
