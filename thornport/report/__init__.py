"""Reports from the lines that processes log: time by stage, and burn."""
