"""Formats the text that the command line prints."""
