"""Decide which requests, and parts of prompts, end the servers that run them."""
