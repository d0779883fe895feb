"""Benchmarks on the local machine; costs are compared as ratios within one run."""
