"""Compares ways of one decision on the same days and seeds.

Start reading at ``comparison``; ``plays`` runs one play of the bench,
``results`` keeps what it gave, ``table`` shows the outcome.
"""
