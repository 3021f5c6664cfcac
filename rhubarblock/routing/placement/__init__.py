"""Placement of prompts: on which engines a prompt runs, and when it starts.

Callers place prompts through a policy: ``promptpolicy`` with ``prompt`` for
engines that work in forward passes, ``policy`` with ``decision`` for others.

For the first kind, ``jobtracker`` tracks the jobs placed on each engine,
``engineview`` predicts what a further job would do to them, ``latencycost``
puts a price on delays, and ``partplan`` and ``splitpolicy`` choose the engines,
the parts and the start. For the second kind, ``loadtable`` estimates the load
of each engine, ``predictor`` predicts durations, ``prefixindex`` estimates the
contents of the prefix caches, and ``segments`` splits large prompts.
``coordination`` asks the instance that coordinates a pool for a placement.
"""
