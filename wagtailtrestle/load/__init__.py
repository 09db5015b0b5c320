"""Open-loop load: who asks what, when, and whether the answers were true."""
