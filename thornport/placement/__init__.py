"""Placement of batch tasks on workers under leases."""
