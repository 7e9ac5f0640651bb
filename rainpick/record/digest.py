"""Digest of the decision modules. A record stores it to identify the version that issued its commands."""

from __future__ import annotations

from pathlib import Path

from xxhash import xxh3_128

from rainpick import decisions


def decisions_digest(folder: Path = Path(decisions.__file__).parent) -> str:
    """Return the XXH3 digest (128 bits, hexadecimal) of the names and contents of a folder's modules."""
    digest = xxh3_128()
    for path in sorted(folder.rglob("*.py")):
        source = path.read_bytes()
        # The length marks the end of the source text: text moved to the next file changes the digest.
        digest.update(b"%s\0%d\0%s" % (path.relative_to(folder).as_posix().encode(), len(source), source))
    return digest.hexdigest()
