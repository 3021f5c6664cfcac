"""Configuration and endpoints at one instance, and where they come from.

Others read ``config_lease`` (the routing table under its lease) and
``directory`` (the endpoints). Read on in ``follower`` (asks the store or a
peer), ``feed`` (answers peers), ``replica`` (what was said last, as it was
said), ``changelog`` and ``removals`` (what changed and what was removed) and
``subset`` (which endpoints of a long list an instance uses).
"""
