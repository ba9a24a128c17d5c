"""Request routing: admission, priority, slot sharing, retries and outcomes."""
