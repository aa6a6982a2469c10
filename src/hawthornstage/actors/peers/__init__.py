"""The task that owns the connections between routers, and its parts."""
