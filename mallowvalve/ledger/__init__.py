"""What was asked for once: claims of keys, and commands that are decided once."""
