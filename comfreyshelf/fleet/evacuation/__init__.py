"""Evacuation of availability zones: the operators' topic and the owner's decisions on it."""
