"""Benchmarks; each module is run by hand and prints a table."""
