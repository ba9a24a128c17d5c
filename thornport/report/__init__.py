"""Reports computed from log lines: time by stage, and burn of service levels."""
