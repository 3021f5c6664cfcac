"""Stand-ins of model engines.

Others use ``engine`` (an engine in memory), ``server`` (the same over HTTP) or
``passes`` (a model of an engine that works in passes). Read on in ``run``,
``batch``, ``cost``, ``memory``, ``cache``, ``exports`` and ``imports``,
``output`` and ``faults``; ``testing`` sets engines up in tests.
"""
