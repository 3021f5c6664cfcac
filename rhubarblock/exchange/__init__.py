"""Serving of opaque exchanges: routes, keys, attempts, placement."""
