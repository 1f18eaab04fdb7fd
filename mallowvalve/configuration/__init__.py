"""What operators configure: the document of tenants and routes, and settings as versioned items."""
