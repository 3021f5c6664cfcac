"""Reads the logs of instances back: which lines, which requests, what was lost.

Others use ``lines`` (single lines), ``counters`` of the command line, and
``losses`` (all requests that fared badly). Read on in ``stories`` (the lines of
one request), ``causes`` (why it fared badly), ``summary`` (sums over a day) and
``pictures``.
"""
