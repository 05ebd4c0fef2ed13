"""The cases, one module each."""
