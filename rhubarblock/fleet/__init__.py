"""Instances and endpoints: membership, peers, endpoint state, orders."""
