"""Give slow requests that may be repeated a second run, within a limit of extra work."""
