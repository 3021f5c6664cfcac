"""The ledger of calls that run at most once, kept in the object store.

The public modules are ``ledger`` and ``settings``. The others are ``row`` (one
claim), ``layout`` and ``route`` (the shard of a key and its coordinator),
``shard`` and ``ops`` (group commit), ``table``, ``head``, ``seal`` and
``index`` (stored objects), ``pacer`` (write rate), ``wire`` (messages between
instances) and ``failures``.
"""
