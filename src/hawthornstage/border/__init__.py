"""Validated models of everything that comes from outside, and the protocols."""
