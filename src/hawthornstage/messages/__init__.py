"""Data classes that pass through the pipelines and between tasks."""
