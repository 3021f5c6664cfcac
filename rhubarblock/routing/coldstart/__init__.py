"""Which endpoints are taken for cold, and how much work they may get.

A cold endpoint handles only a few requests a second and crashes well above
that. ``coldtable`` decides which endpoints are known to be cold and until when,
``recentcounts`` counts what was sent to each of them lately, and ``coldbound``
has the bound for endpoints that may be cold without being known as such.
"""
