"""Topic filters with their wildcards (section 4.7)."""

from __future__ import annotations

SINGLE_LEVEL = "+"
MULTI_LEVEL = "#"
WILDCARDS = (SINGLE_LEVEL, MULTI_LEVEL)
SHARED_PREFIX = "$share/"


def matches_filter(topic: str, topic_filter: str) -> bool:
    """Whether a topic matches a filter.

    ``+`` matches one level and ``#`` all remaining levels, including none. A wildcard in the first level
    matches no topic that begins with ``$``.

    >>> matches_filter("a/b/c", "a/+/c"), matches_filter("a/b/c", "a/#"), matches_filter("a", "a/#")
    (True, True, True)
    >>> matches_filter("a/b", "a"), matches_filter("$SYS/a", "#")
    (False, False)
    """
    if topic.startswith("$") and topic_filter.startswith(WILDCARDS):
        return False
    topic_levels = topic.split("/")
    filter_levels = topic_filter.split("/")
    for index, filter_level in enumerate(filter_levels):
        if filter_level == MULTI_LEVEL:
            return True
        if index >= len(topic_levels) or filter_level not in (SINGLE_LEVEL, topic_levels[index]):
            return False
    return len(topic_levels) == len(filter_levels)


def is_valid_filter(topic_filter: str) -> bool:
    """Whether each wildcard occupies a whole level and ``#`` is in the last level.

    >>> [is_valid_filter(topic_filter) for topic_filter in ("a/+/#", "a/#/b", "a+", "", "#")]
    [True, False, False, False, True]
    """
    if not topic_filter:
        return False
    levels = topic_filter.split("/")
    last = len(levels) - 1
    for index, level in enumerate(levels):
        if MULTI_LEVEL in level and (level != MULTI_LEVEL or index != last):
            return False
        if SINGLE_LEVEL in level and level != SINGLE_LEVEL:
            return False
    return True
