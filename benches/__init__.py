"""Measure the decision cores and the daemons; each bench prints JSON lines (`scripts/bench`)."""
