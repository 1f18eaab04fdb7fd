"""Who is alive: the failure detector of docs/paper.md, joins, refutations, and how views travel."""
