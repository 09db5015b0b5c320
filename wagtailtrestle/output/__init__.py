"""Text that the command line prints."""
