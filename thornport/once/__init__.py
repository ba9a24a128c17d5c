"""Runs a request with an idempotency key at most once, by votes of replicas."""
