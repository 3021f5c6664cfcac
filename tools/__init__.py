"""Tools for developers: checks of the tree, and the soak."""
