"""The load generator: sends requests to entries and checks each answer."""
