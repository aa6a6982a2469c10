"""Validated models of external input, and the protocols that carry it."""
