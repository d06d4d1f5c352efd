"""Decide, without I/O: every choice the daemons make, as plain state machines."""
