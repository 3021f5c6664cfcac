"""Stand-ins for model engines.

Entry points are ``engine`` (an engine in memory), ``server`` (the same engine
over HTTP) and ``passes`` (a simpler model of an engine that works in passes).
``run``, ``batch``, ``cost``, ``memory``, ``cache``, ``exports``, ``imports``,
``output`` and ``faults`` implement the engine; ``testing`` has helpers that
set up engines in tests.
"""
