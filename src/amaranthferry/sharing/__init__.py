"""Share the room of a level between workspaces that compete for it."""
