"""Serves requests: callers, attempts, streams and at-most-once calls."""
