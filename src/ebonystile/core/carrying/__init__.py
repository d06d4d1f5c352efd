"""Flows that are forwarded packet by packet, without terminating the connection."""
