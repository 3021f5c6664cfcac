"""The other instances, and the messages between instances.

``table`` holds the known peers, ``updates`` exchanges datagrams about placed
work, ``limitupdates`` those about rate limits and permits, and ``retryupdates``
those about loans of retries.
"""
