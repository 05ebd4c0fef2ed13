"""Tests: features in Gherkin, their steps, and the history checks."""
