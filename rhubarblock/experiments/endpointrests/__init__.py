"""The scenario ``endpoint-rests``: sharing cool-downs of endpoints with peers.

``scenario`` is the interface to other packages; ``fleet`` has the instances,
``ways`` the compared policies and ``sheddingendpoint`` the endpoints.
"""
