"""Placement policies, which the registry loads as plug-ins."""
