"""Policies measured on fakes under an advanced clock, without any model of a network."""
