"""Scheduler of multi-accelerator jobs with guaranteed capacity per organisation."""

__version__ = "0.1.0"
