"""Jobs onto workers: what runs where, under which lease."""
