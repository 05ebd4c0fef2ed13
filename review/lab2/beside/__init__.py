"""Faults found beside the five cases; see review/REPORT-2.md."""
