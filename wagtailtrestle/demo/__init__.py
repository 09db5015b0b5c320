"""A small deployment on one machine, for the demo, the measurements and the failure tests.

This is the only place that starts processes; nothing of the system itself does.
"""
