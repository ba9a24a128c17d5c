"""Small stand-ins for what the platform and its users run, for demo and tests."""
