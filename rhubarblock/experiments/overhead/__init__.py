"""The measurement ``overhead``: what the relay adds, and what it costs.

Others use ``measurement``, ``sweep`` and ``threads``. Read on in ``parts``,
``load`` and ``source``.
"""
