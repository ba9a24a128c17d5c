"""Thornport: a cluster scheduler for unlike workloads sharing one cell."""

__version__ = "0.1.0"
