"""Command lines of all programs."""
