"""Randomized soak test of node processes under external faults."""
