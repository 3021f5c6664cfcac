"""The scenario ``faults``: seeded fault injection against the real code.

``scenario`` is the interface to other packages; ``kinds`` has the faults and
``fleet`` the simulated fleet.
"""
