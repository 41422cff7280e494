"""Schedule requests across heterogeneous inference engines."""
