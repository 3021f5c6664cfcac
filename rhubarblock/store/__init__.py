"""Interface and clients of the platform's object API."""
