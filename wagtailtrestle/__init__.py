"""Request scheduler for unlike engines, run by declarations."""

__version__ = "0.1.0"
