"""Teams' quotas over all routers: an owner for each team, credits ahead for whoever serves it."""
