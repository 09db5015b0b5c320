"""The callers' side: HTTP in, checks, answers out."""
