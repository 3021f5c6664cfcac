"""The scenario ``faults``: seeded faults of every kind against real code.

Others use ``scenario``. Read on in ``kinds`` and ``fleet``.
"""
