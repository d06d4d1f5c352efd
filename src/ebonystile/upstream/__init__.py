"""Speak with the upstream beside a sidecar over HTTP."""
