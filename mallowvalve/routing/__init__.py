"""The language of routes: what matches a request, and the policy it is carried by."""
