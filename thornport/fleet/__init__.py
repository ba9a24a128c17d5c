"""The platform's list of VMs, which lags: the backend servers and workers."""
