"""Developer tools: source checks, the soak test and comparisons of code."""
