"""Ledger of idempotency keys, kept in the platform's store."""
