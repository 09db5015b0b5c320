"""Small stand-ins for the outside systems, each its own process."""
