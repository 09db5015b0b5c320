"""Model checks of the core protocol: small specifications, their safeguards and the checker."""
