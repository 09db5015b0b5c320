"""Kinds and names of the objects in the users' store that concern this system."""

DECLARATION_KIND = "config"
DECLARATION_NAME = "main"
ENGINE_KIND = "servers"
ROUTER_KIND = "wagtailtrestle-routers"
"""Our own: where each router listens for its peers."""
EPOCH_KIND = "wagtailtrestle-epochs"
"""Our own: the last epoch of the store that the fleet knew for long enough."""
