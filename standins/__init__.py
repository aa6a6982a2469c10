"""Small stand-ins for the systems around the routers, each a process of its own."""
