"""Programs for demonstrations, load and measurements."""
