"""Measurements behind docs/CAPACITY.md: how the cost of each role grows with its load, on one computer.

Processor time is read from the process's own CPU clock, so other work on the computer lengthens the
run but hardly changes the figure. Each module prints JSON lines; ``make slopes`` runs them all.
"""
