"""The scenario ``endpoint-rests``: sharing cool-downs of endpoints with peers.

``scenario`` is the interface to other packages; ``fleet`` has the instances,
``policies`` the compared policies and ``sheddingendpoint`` the endpoints.
"""
