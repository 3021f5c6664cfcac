"""The scenario ``endpoint-rests``: are rests of endpoints told to peers?

Others use ``scenario``. Read on in ``fleet``, ``ways`` and ``sheds``.
"""
