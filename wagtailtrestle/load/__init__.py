"""Open-loop load generation, and checks of the responses against the engines' records."""
