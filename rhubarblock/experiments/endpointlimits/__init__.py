"""The scenario ``endpoint-limits``: enforcement of an endpoint's rate limit.

``scenario`` is the interface to other packages; ``fleet`` has the instances
and ``gates`` the compared policies.
"""
