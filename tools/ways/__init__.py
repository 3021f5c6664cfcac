"""Compares alternatives of one design decision on the same days and seeds.

An alternative, called a way, is a revision of the code. A play is one run of
the benchmark program, which simulates a day at a site. Start reading at
``comparison``; ``plays`` runs one play, ``results`` stores the outcomes,
``table`` formats them.
"""
