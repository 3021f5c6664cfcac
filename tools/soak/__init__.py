"""A seeded soak test that runs the real program in processes on loopback.

``run.py`` starts entry instances, simulates the platform around them (store,
endpoints and callers), injects faults from outside in an order that follows
from a seed, and checks invariants on what callers and endpoints observe.
"""
