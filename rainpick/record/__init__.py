"""Recording of a director's decisions step by step, and replay of such records.

``recorder`` writes a record into a ``rainpick.store``; ``steps`` and ``schema`` are its bytes and stored
names. ``incarnations`` and ``clock`` read records, ``replay`` feeds them to the decisions again, ``compare``
(with ``view``, ``limits`` and ``series``) shows the differences in users' terms, ``page`` as HTML.
``load`` and ``folder_package`` load other texts of the decisions, ``exchange`` exports and imports records.
"""
