"""Flows with tokens: requests that run at most once, feeds, and handover between sidecars."""
