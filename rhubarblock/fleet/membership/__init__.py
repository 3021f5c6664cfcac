"""Membership: which entry instances are alive.

Other packages use ``membership``, or ``view`` for read access. ``member`` and
``table`` hold the records; ``probing`` and ``detection`` detect failures.
"""
