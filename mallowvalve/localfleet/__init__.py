"""A development tool: runs a whole fleet on one machine, injects faults, and checks the journals of its clients."""
