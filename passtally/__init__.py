"""Serves long generations on model engines that may crash in mid-answer."""

import os

# libuv reads these when the first event loop is created, so they are set before any
# import can create one. The hosts forbid io_uring. One thread is enough for the thread
# pool: its only work would be name look-ups, which IP addresses do not need.
os.environ["UV_USE_IO_URING"] = "0"
os.environ["UV_THREADPOOL_SIZE"] = "1"

__version__ = "0.1.0"
