"""Small stand-ins for the outside systems. Not part of the shipped package."""

import os

os.environ["UV_USE_IO_URING"] = "0"
