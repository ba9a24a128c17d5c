"""Requests: admission, priority, sharing of slots, retries, outcomes."""
