"""At most once: a request with a caller's key runs at most one time."""
