"""The scenario ``limits``: enforcement of limits across all instances.

``scenario`` is the interface to other packages; ``fleet`` has the instances
and ``meter`` measures the use of a limit.
"""
