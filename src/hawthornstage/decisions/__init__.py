"""Pure policy: no socket, thread, clock, random source or codec."""
