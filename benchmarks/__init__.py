"""Benchmarks of scheduling policies, decision costs and separate processes."""
