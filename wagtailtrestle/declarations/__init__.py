"""Files of operators, read and checked: declarations and settings."""
