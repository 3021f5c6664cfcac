"""The measurement ``capacity``: scaling of the control cost of each role.

``measurement`` and ``page`` are the interface to other packages. ``probe`` has
the base class of all probes and ``roles`` the target size. The probes are in
``fleet``, ``lists``, ``platform``, ``routing``, ``sockets`` and ``instance``;
``meter`` reads what they cost.
"""
