"""How fast targets work."""
