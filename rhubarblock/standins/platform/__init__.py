"""Stand-in of the platform's object API.

Others use ``store`` (in memory) or ``server`` (the same over HTTP). Read on in
``state``, ``watch``, ``rates`` and ``faults``.
"""
