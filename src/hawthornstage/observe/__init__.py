"""What operators see: events, logs and metrics."""
