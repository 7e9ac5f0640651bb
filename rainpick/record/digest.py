"""A digest of the decisions' text: a record says by it which text gave its orders."""

from __future__ import annotations

from pathlib import Path

from xxhash import xxh3_128

from rainpick import decisions


def decisions_digest(folder: Path = Path(decisions.__file__).parent) -> str:
    """XXH3 (128 bits, in hexadecimal) of all decision modules in a folder: their names and contents."""
    digest = xxh3_128()
    for path in sorted(folder.rglob("*.py")):
        text = path.read_bytes()
        # The length separates a name from the text that follows, and that from the next name.
        digest.update(b"%s\0%d\0%s" % (path.relative_to(folder).as_posix().encode(), len(text), text))
    return digest.hexdigest()
