"""Tasks that choose backend servers, and track what is known of them."""
