"""Connections to endpoints through peers.

An instance that is partitioned from an endpoint asks a peer to connect to it.
The peer forwards bytes and decides nothing, so admission, limits, retries and
verdicts stay with the instance that has the caller, each counted once.

Reading order: ``wire`` (the request for a tunnel and its answer), ``server``
(forwards bytes for peers), ``client`` (chooses peers).
"""
