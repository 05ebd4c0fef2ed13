"""Measurements of the decisions and of the processes."""
