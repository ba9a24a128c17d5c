"""The command line: thin mains over the library."""
