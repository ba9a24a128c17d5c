"""The entry daemon: passes requests of callers to backend servers."""
