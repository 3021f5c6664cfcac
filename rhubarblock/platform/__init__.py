"""Adapter to the users' platform: its names, formats and calls.

Each name on the wire is decoded here once into the product's types. Nothing
here decides what is done with a request.
"""
