"""Being the owner of a cell: its key, its records, its looks and orders."""
