"""Analyses instance logs: which requests were not served in time, and why.

``lines`` parses single log lines, ``requesttraces`` groups them by request,
``causes`` classifies each request, ``summary`` counts the losses and ``charts``
draws them. The commands ``counts``, ``explain`` and ``losses`` use this
package.
"""
