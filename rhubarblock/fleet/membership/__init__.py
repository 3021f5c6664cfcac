"""Which entry instances live.

Others use ``membership``, or ``view`` where reading is enough. Read on in
``member`` and ``table`` (what is known), ``probing`` and ``detection`` (how a
lost instance is noticed).
"""
