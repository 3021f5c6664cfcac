"""Simulates placement policies on modelled engines of the users' deployments.

``play`` is the interface to other packages; ``mix`` defines the deployments
and draws the requests.
"""
