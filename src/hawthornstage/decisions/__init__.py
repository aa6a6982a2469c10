"""Decisions as pure functions: no sockets, threads, clocks, randomness or codecs."""
