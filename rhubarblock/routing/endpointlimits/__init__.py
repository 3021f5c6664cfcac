"""Rate limits that endpoints name for themselves, kept by all instances.

``book`` holds what endpoints said, ``schedule`` spaces the permits of one of
them, ``coordinator`` grants them to instances, ``holding`` keeps those that
were granted here, and ``requester`` asks for more.
"""
