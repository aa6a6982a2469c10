"""The request pipe: one module for each filter."""
