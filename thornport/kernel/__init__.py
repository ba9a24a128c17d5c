"""Shared by all packages: time, ids, errors, codec, settings files, logs, metrics."""
