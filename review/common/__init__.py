"""Stand-ins and helpers that the scripts of the cases share."""
