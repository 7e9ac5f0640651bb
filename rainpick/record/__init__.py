"""Recording of the steps of a director, and replay of the records.

A record is a store (``rainpick.store``) with the steps of one director; each run of the director in it is
called an incarnation. ``recorder`` writes a record; ``steps`` encodes and decodes its payloads, ``schema``
holds the stored names. ``incarnations`` reads one record, ``clock`` merges several. ``replay`` feeds the
recorded events to the decision modules again, ``compare`` (with ``view``, ``limits`` and ``series``) measures
the effect of differing commands on requests, and ``page`` renders the result as HTML. ``inspect`` reports the
state of a director at a point in time. ``load`` and ``folder_package`` load other versions of the decision
modules, ``digest`` identifies a version, and ``exchange`` exports and imports records.
"""
