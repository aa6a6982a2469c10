"""Observability: events, logs and metrics."""
