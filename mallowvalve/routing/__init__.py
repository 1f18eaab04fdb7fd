"""The route language: which requests a route matches, and the policy by which they are forwarded."""
