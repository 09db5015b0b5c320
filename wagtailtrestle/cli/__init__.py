"""Command-line programs, built with fire."""
