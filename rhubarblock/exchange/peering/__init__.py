"""The other instances, and what instances tell each other.

Others use ``table`` (who is there) and ``updates`` (datagrams about placed
work).
"""
