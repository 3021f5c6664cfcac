"""Measurements that are run by hand; results lie beside them."""
