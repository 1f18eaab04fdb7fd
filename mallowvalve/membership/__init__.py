"""Cluster membership: the failure detector of docs/paper.md, joins, refutations and dissemination of views."""
