"""Shift a service's requests to the servers of another version."""
