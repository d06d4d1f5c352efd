"""Speak with the platform: published documents and the list of instances."""
