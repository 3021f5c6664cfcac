"""Load scenarios and experiments, and reports of their results."""
