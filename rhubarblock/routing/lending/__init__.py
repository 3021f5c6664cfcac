"""Shares of the limits across all instances, without a coordination service.

Callers use ``lender``, which holds the shares of one instance and reports to
the coordinator of each limit. ``entry`` and ``holding`` keep what one instance
owns, ``holders`` lists the instances that have a static share, ``coordinator``
and ``pool`` decide who lends and who borrows, and ``targets`` divides a limit.
"""
