"""Bound what a host holds for the connections of its listening ports."""
