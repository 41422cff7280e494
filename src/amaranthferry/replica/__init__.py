"""What a host knows of the store, how old it is, and what may be said from it."""
