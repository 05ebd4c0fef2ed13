"""Tests: Gherkin features, their steps and simulators, and the history checks."""
