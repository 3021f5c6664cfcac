"""Rate limits that endpoints name for themselves, kept by all instances.

``book`` holds what endpoints said.
"""
