"""A randomized soak: real hosts as processes, faults injected from outside them."""
