"""The declaration in force on one router."""
