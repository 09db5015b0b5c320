"""Engines: HTTP client, dialects, speed models, health, rate limits and load reports."""
