"""Calls to workers that other processes make for the owner of a large cell."""
