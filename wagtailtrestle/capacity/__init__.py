"""Capacity of a cell: decides which request runs next, is refused or is preempted."""
