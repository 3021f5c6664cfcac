"""The ledger of calls that run at most once, kept in the store.

Others use ``ledger`` with ``settings``. Read on in ``row`` (one claim),
``layout`` and ``route`` (which shard, and who coordinates it), ``shard`` and
``ops`` (group commit), ``table``, ``head``, ``seal`` and ``index`` (what is
stored), ``pacer`` (writes a second), ``wire`` and ``failures``.
"""
