"""Command-line programs: thin mains over fire."""
