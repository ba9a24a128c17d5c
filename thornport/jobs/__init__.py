"""Jobs: their specification, submission, persisted records and state."""
