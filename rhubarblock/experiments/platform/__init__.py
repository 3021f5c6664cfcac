"""The users' deployments on modelled engines.

Others use ``play``; ``mix`` has the kinds of requests and the waves of load.
"""
