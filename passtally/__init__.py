"""Passtally serves long generations on engines that die in the middle of an answer."""

import os

# libuv reads these when the first loop is made, so they are set before any import
# can make one: the hosts forbid io_uring, and name look-ups, the only work for its
# thread pool, do not happen on IP numbers.
os.environ["UV_USE_IO_URING"] = "0"
os.environ["UV_THREADPOOL_SIZE"] = "1"

__version__ = "0.1.0"
