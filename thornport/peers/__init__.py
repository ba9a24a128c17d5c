"""Messages between thornport's own processes over ZeroMQ."""
