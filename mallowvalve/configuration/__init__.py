"""What operators configure: the tree of tenants and routes, and settings as versioned items."""
