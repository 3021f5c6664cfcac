"""Stand-ins and the start of processes for the cases of the second review."""
