"""Serve routed requests: the edge, the servers' connections and the beliefs behind."""
