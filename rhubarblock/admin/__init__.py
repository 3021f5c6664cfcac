"""Administration API of an instance, over HTTP."""
