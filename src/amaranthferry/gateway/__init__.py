"""Serve routed requests: HTTP edge, server connections and cached store objects."""
