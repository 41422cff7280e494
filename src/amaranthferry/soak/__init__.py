"""Run real entry hosts under a seeded schedule of faults, and check guarantees."""
