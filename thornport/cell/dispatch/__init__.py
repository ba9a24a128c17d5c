"""Dispatches an owner's calls to workers through other processes of a large cell."""
