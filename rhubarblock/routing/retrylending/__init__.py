"""A retry budget that all instances share, lent without a coordinator.

``ledger`` keeps the budget of one service at one instance, ``borrower`` asks
peers for loans, ``peers`` is the interface to them, and ``messages`` what they
exchange. ``reserve`` decides for whom the remainder of a low budget is kept,
and ``repeats`` finds the workspaces that repeat their own requests.
"""
