"""Benchmarks and measurements of the fleet; they are run by hand and are not tests."""
