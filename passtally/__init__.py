"""Passtally serves long generations on engines that die in the middle of an answer."""

import os

# libuv reads this when the first loop is made, so it is set before any import
# can make one: the hosts forbid io_uring.
os.environ["UV_USE_IO_URING"] = "0"

__version__ = "0.1.0"
