"""Other processes that take the machine's processors."""

import contextlib
import subprocess
import sys
from collections.abc import Iterator

#: They end by themselves after this, in seconds, whatever becomes of the test.
LONGEST = 40
_PROGRAM = """
import os, sys, time
if len(sys.argv) > 2:
    os.sched_setaffinity(0, {int(sys.argv[2])})
until = time.monotonic() + float(sys.argv[1])
while time.monotonic() < until:
    pass
"""


@contextlib.contextmanager
def busy_machine(processes: int, *, core: int | None = None) -> Iterator[None]:
    """Let other processes take the processors.

    Args:
        processes: How many.
        core: The one that they share; None for all.
    """
    command = [sys.executable, "-c", _PROGRAM, str(LONGEST)]
    if core is not None:
        command.append(str(core))
    busy = [subprocess.Popen(command) for _ in range(processes)]
    try:
        yield
    finally:
        for process in busy:
            process.kill()
            process.wait()
