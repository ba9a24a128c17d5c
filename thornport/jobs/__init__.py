"""Jobs: what callers hand in, what is kept of it, and its state."""
