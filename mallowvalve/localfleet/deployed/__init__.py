"""A soak of the processes that the deploy file starts, on host routes, with stand-ins for all that surrounds them."""
