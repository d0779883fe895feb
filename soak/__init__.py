"""A randomized soak test: host processes under faults injected from outside them."""
