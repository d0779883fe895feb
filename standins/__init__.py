"""Stand-ins for the outside systems, for tests and benchmarks; not shipped."""

import os

os.environ["UV_USE_IO_URING"] = "0"
