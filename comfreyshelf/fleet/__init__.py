"""Scheduling of multi-step jobs on a fleet of targets, with all state in the platform's store."""
