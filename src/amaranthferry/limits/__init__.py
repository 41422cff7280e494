"""Keep limits that hold over all entry hosts together."""
