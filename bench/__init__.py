"""Benchmarks: measured on this machine, judged by ratios taken in one run."""
