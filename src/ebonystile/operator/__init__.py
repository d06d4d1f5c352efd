"""Speak with operators: what they ask the system's processes, and how the answers are shown."""
