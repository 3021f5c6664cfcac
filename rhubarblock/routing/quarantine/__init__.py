"""Keeps requests that crash endpoints from crashing more of them.

Others use ``gate``, which lets requests pass. Read on in ``flight`` (what runs
where), ``book`` (which requests are blamed), ``desk`` (one copy of a suspect at
a time), ``keeper`` (what outlasts the instances) and ``wire`` (facts as bytes).
"""
