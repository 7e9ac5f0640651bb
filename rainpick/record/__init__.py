"""Recording of the steps of a director, and replay of the records.

``recorder`` writes a record to a ``rainpick.store``; ``steps`` encodes and decodes its payloads, ``schema``
holds the stored names. ``incarnations`` and ``clock`` read records. ``replay`` feeds the recorded events to
the decision modules again, ``compare`` (with ``view``, ``limits`` and ``series``) measures the effect of
differing commands on requests, and ``page`` renders the result as HTML. ``inspect`` reports the state of a
director at a point in time. ``load`` and ``folder_package`` load other versions of the decision modules,
``digest`` identifies a version, and ``exchange`` exports and imports records.
"""
