"""Placement of new flows: ranking, load reports, suspicion, policies."""
