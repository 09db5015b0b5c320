"""Rollouts: move a service's traffic to engines of another version after a canary analysis."""
