"""History checks: the pure cores run together in virtual time under faults."""
