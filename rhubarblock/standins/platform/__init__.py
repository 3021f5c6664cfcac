"""Stand-in for the platform's object API.

Entry points are ``store`` (the API in memory) and ``server`` (the same over
HTTP). ``state``, ``watch``, ``rates`` and ``faults`` implement them.
"""
