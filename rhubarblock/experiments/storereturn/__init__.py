"""The scenario ``store-return``: rewriting entries that the store has lost.

``scenario`` is the interface to other packages; ``fleet`` has the instances
and ``restoredstore`` the store.
"""
