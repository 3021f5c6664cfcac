"""Adapter to the users' platform: its names, formats and calls.

Only this package converts between the platform's wire formats and the product's
types. It makes no decisions about requests.
"""
