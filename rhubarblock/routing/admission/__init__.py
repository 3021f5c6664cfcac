"""Decides which requests are let in while a service is saturated.

``demand`` counts what is offered and admitted by rank and workspace, here and
at peers; ``standing`` derives from it which requests go first; ``returntimes``
spreads the callers that are told to return; ``controller`` compares what a
placement would cost with what its answer is worth and combines the others into
one decision. ``deadline`` is the earlier check of the completions API. Nothing
here sends or waits.
"""
