"""Resources that the machines forbid: child processes, io_uring, shared memory."""

import os
import subprocess
import sys
from pathlib import Path

from tests.conftest import EXPECTED, System

#: The thread of the event loop, and idle threads of libraries: two of ZeroMQ, one of
#: libuv and one of aiomisc's pool. Only the event loop runs Python.
MAX_THREADS = 5


def descriptors(pid: int) -> list[str]:
    folder = Path(f"/proc/{pid}/fd")
    targets = []
    for name in os.listdir(folder):
        try:
            targets.append(os.readlink(folder / name))
        except FileNotFoundError:
            continue
    return targets


class TestDaemonProcess:
    def test_one_process_without_children_or_io_uring(self, system: System):
        assert system.chat("entry-a").text == EXPECTED
        pid = system["entry-a"].popen.pid
        tasks = os.listdir(f"/proc/{pid}/task")
        children = [
            Path(f"/proc/{pid}/task/{task}/children").read_text().split()
            for task in tasks
        ]
        assert not any(children)
        assert len(tasks) <= MAX_THREADS
        assert not any("io_uring" in target for target in descriptors(pid))
        maps = Path(f"/proc/{pid}/maps").read_text()
        assert "/dev/shm" not in maps
        assert "libc.so" in maps


class TestImports:
    def test_an_entry_host_on_the_platform_loads_one_http_library(self):
        """Each library takes memory on every host and time at each start."""
        program = (
            "import sys, passtally.platform.process;sys.exit('aiohttp' in sys.modules)"
        )
        done = subprocess.run([sys.executable, "-c", program], check=False, timeout=60)
        assert done.returncode == 0
