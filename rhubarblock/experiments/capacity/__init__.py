"""The measurement ``capacity``: slopes of what control costs, by role.

Others use ``measurement`` and ``page``. Read on in ``probe`` and ``roles``,
then in the probes: ``fleet``, ``lists``, ``platform``, ``routing``,
``sockets`` and ``whole``; ``meter`` reads what they cost.
"""
