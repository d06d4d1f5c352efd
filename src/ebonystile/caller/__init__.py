"""The client library for callers and the datagrams that callers and the system exchange."""
