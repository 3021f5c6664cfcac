"""Plug-ins that the registry finds here: placement policies."""
