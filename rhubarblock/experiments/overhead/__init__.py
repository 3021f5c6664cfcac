"""The measurement ``overhead``: added latency and cost of the relay.

``measurement``, ``sweep``, ``threads`` and ``parts`` are the interface to other
packages. ``load`` has the callers and ``source`` the token sources.
"""
