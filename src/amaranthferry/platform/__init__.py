"""Translate the platform's names, formats and calls into the product's types."""
