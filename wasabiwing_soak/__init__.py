"""Randomized soak: real node programs, faults from outside, promises."""
