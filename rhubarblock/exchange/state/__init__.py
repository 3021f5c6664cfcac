"""Configuration and endpoint list of one instance, and their replication.

Other packages use ``configlease`` (the routing table and its lease) and
``directory`` (the endpoints). ``follower`` polls the store or a peer, ``feed``
serves peers, ``replica`` holds the latest state as received, ``changelog`` and
``tombstones`` hold its latest changes and removals, and ``subset`` selects the
endpoints of a large pool that an instance uses.
"""
