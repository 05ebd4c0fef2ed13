"""Which targets may be given work."""
