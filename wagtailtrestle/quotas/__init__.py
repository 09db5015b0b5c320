"""Teams' quotas over all routers: an owner for each team, prefetched credits for the routers that serve it."""
