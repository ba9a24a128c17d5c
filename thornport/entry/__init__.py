"""The entry daemon: callers and operators on one side, backend servers on the other."""
