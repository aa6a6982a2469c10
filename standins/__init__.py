"""Small stand-ins for the systems around the routers, each run as a process."""
