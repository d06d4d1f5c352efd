"""Speak with operators: status, metrics and the stream of events."""
