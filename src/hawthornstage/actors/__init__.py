"""Tasks that own their sockets and their state, and talk by messages."""
