"""Where a prompt runs: engines, parts, and when it begins.

Others place prompts through a policy: ``promptpolicy`` with ``prompt`` for
engines that work in passes, ``policy`` with ``answer`` for all others. Read on
in ``enginebook`` and ``engineview`` (what an engine has before it),
``lateness`` (what waiting costs), ``partplan`` and ``parting`` (which engines
read which part, and when), then in ``loadtable``, ``predictor``,
``prefixindex`` and ``segments``, and in ``coordination`` (placements that one
instance decides for others).
"""
