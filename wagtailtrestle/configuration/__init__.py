"""The declaration in force on a router, and the store that it comes from."""
