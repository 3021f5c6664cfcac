"""The scenario ``store-return``: who writes lost lines into the store again?

Others use ``scenario``. Read on in ``fleet`` and ``backstore``.
"""
