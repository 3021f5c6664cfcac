"""A randomized soak of the real programs as separate processes on loopback.

``run.py`` starts entry instances, plays the platform around them (store,
engines, callers), injects faults from outside by a seed, and checks what
callers and endpoints see while it runs.
"""
