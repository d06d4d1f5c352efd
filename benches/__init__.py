"""Measure the project: each module is run by `scripts/bench NAME` and prints JSON lines."""
