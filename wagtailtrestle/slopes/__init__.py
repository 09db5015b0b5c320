"""Slopes behind docs/CAPACITY.md: what each role costs as its load grows, on one machine.

Processor time is read from the process's own clock, so a busy machine stretches the run
but hardly the figure. Each module prints JSON lines; ``make slopes`` runs them all.
"""
