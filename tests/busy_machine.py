"""Load on the machine's processors from other processes."""

import contextlib
import subprocess
import sys
from collections.abc import Iterator

#: Time after which the processes exit by themselves, in seconds, even if the test is
#: killed.
MAX_SECONDS = 40
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
    """Keep the processors busy with other processes.

    Args:
        processes: The number of processes.
        core: The core that all of them share; None for no restriction.
    """
    command = [sys.executable, "-c", _PROGRAM, str(MAX_SECONDS)]
    if core is not None:
        command.append(str(core))
    busy = [subprocess.Popen(command) for _ in range(processes)]
    try:
        yield
    finally:
        for process in busy:
            process.kill()
            process.wait()
