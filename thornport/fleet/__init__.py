"""The platform's lagging list of VMs: who are backend servers and workers."""
