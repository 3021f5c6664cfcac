"""Keeps requests that crash endpoints from crashing more of them.

Callers use ``gate``, which admits or refuses requests. ``inflight`` tracks
which request runs where, ``registry`` holds the crashes and decides which
requests are suspect or in quarantine, ``permitissuer`` lets one copy of a
suspect run at a time, ``storesync`` persists the quarantines, and ``wire``
encodes facts for the wire.
"""
