"""What a change of the settings tree would move, before it is applied."""
