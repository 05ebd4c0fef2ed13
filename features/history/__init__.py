"""History checks: simulates a deployment under faults and checks the events it records."""
