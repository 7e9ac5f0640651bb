"""Former names from ``follower`` and ``table_updates``, for callers that have not been renamed."""

from rainpick.publish.follower import TableFollower as Follower
from rainpick.publish.table_updates import TableUpdateEncoder as Writer

__all__ = ["Follower", "Writer"]
