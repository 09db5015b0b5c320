"""Membership: failure detection and the view of live routers."""
