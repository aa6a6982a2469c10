"""Demonstrations, load generators, benchmarks and process management for tests."""
