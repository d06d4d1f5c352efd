"""The HTTP client for the upstream beside a sidecar."""
