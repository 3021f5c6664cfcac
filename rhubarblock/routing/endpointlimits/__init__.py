"""Rate limits that endpoints announce, enforced across all instances.

``limittable`` holds the limits that endpoints announced, ``schedule`` spaces
the permits of one endpoint, ``coordinator`` grants permits to instances,
``holding`` keeps the permits granted to this one, and ``requester`` asks for
more.
"""
