"""Measure times and costs, which the tests must not depend on."""
