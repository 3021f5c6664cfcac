"""Proxies opaque HTTP exchanges: routes, keys, attempts, placement."""
