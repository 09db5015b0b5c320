"""The HTTP interface for callers: receives, validates and answers requests."""
