"""Idempotency keys that are remembered."""
