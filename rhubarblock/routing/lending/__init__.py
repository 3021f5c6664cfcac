"""Shares of the limits over all instances, without a coordination service.

Others use ``lender``, which holds the shares of one instance and asks the
coordinator of each limit. Read on in ``entry`` and ``holding`` (what one
instance owns), ``holders`` (who owns a static share), ``coordinator`` and
``pool`` (who lends and who borrows), ``targets`` (how a limit is divided).
"""
