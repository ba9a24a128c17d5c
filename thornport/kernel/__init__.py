"""What every slice shares: time, ids, errors, codec, settings files, logs, metrics."""
