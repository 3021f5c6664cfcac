"""Plain data types that every other package shares."""
