"""Plans: the effects of a change of the settings tree, computed before it is applied."""
