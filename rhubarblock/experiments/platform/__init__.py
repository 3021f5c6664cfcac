"""Simulates placement policies on modelled engines of the users' deployments.

``scenario`` is the interface to other packages; ``deployments`` defines the
deployments and draws the requests.
"""
