"""Ownership of a cell: its key, its records, worker polls and commands."""
