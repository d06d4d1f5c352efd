"""Speak with callers: the datagrams they exchange with the system and a client library."""
