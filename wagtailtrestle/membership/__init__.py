"""Which routers live."""
