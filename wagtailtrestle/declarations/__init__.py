"""Parsing and checking of the operator's files: declarations and settings."""
