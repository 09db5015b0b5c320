"""Ownership and state machine of each caller's request (decisions)."""
