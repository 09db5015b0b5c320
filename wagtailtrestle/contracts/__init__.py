"""What the parts tell each other: declared data, messages, outcomes and ports."""
