"""How long tasks are expected to run."""
