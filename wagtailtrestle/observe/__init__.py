"""Observability of a process: logs, metrics and state dump."""
