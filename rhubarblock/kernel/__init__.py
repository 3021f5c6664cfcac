"""Timers, plug-in registry, instance lifecycle, metrics and logs."""
