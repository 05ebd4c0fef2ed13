"""Adapter to the users' platform: its settings file, wire formats, store and runner calls."""
