"""The request: its owner and its state machine (decisions)."""
