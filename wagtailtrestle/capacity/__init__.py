"""Capacity of a cell: who runs next, who is refused, who yields (decisions)."""
