"""The scenario ``limits``: are limits held over all instances together?

Others use ``scenario``. Read on in ``fleet`` and ``meter``.
"""
