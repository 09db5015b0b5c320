"""A small local deployment for the demo, the measurements and the failure tests.

Only this package starts processes; the system itself never does.
"""
