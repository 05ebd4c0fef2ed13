"""What an owner learns and keeps in the store for the next owner."""
