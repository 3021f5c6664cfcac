"""Assembles instances from their parts and serves them over sockets."""
