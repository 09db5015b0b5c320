"""Measurements of the policies on fakes under a virtual clock; a message takes a fixed time, no network is modelled."""
