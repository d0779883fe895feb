"""Checks dist/passtally: one process, never a child, no io_uring, linked to libc."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from standins.ports import free_port
from standins.processes import Processes, call_json

BINARY = Path(__file__).parent.parent / "dist" / "passtally"
FORBIDDEN_CALLS = "fork,vfork,clone,clone3,io_uring_setup,shmget"
THREAD_FLAG = "CLONE_THREAD"
START_SECONDS = 30


def main() -> None:
    """Run all checks; exit 1 if one fails."""
    problems = []
    with (
        tempfile.TemporaryDirectory() as folder,
        Processes(Path(folder)) as processes,
    ):
        processes.start_platform()
        processes.wait_ready()
        trace = Path(folder) / "trace"
        popen, url = _start(processes, Path(folder), trace)
        try:
            _wait_ready(url)
            daemon = _daemon_pid(popen.pid)
            problems += _check_process(daemon)
            # The signal goes to the daemon; a tracer exits together with its tracee.
            os.kill(daemon, signal.SIGTERM)
            popen.wait(START_SECONDS)
        finally:
            popen.kill()
        problems += _read_trace(trace)
    for problem in problems:
        print(f"FAILED: {problem}")
    print("one process, no child, no io_uring, linked to libc" if not problems else "")
    sys.exit(1 if problems else 0)


def _start(
    processes: Processes, folder: Path, trace: Path
) -> tuple[subprocess.Popen, str]:
    port = free_port()
    command = [
        str(BINARY),
        "serve",
        "--host-id=entry-binary",
        "--failure-domain=pilar",
        f"--listen=127.0.0.1:{port}",
        f"--peer-listen=127.0.0.1:{free_port()}",
        f"--platform={processes.platform.url}",
        "--resume-keys=k1:only-for-the-check-here",
        "--balancer-lag=100ms",
        f"--log={folder / 'binary.log'}",
    ]
    if shutil.which("strace"):
        traced = ["strace", "-f", "-o", str(trace), "-e", f"trace={FORBIDDEN_CALLS}"]
        command = traced + command
    environment = os.environ | {"PASSTALLY_RUNTIME_DIR": str(folder)}
    return subprocess.Popen(command, env=environment), f"http://127.0.0.1:{port}"


def _wait_ready(url: str) -> None:
    deadline = time.monotonic() + START_SECONDS
    while True:
        try:
            call_json("GET", f"{url}/readyz")
            return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.05)


def _daemon_pid(pid: int) -> int:
    """Return the daemon's process id: the tracer's child, or the process itself."""
    children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    return int(children[0]) if children else pid


def _check_process(pid: int) -> list[str]:
    problems = []
    for task in os.listdir(f"/proc/{pid}/task"):
        if Path(f"/proc/{pid}/task/{task}/children").read_text().split():
            problems.append(f"thread {task} has a child process")
    targets = [os.readlink(path) for path in Path(f"/proc/{pid}/fd").iterdir()]
    if any("io_uring" in target for target in targets):
        problems.append("the daemon has an io_uring descriptor")
    if "libc.so" not in Path(f"/proc/{pid}/maps").read_text():
        problems.append("the daemon is not linked to the C library")
    return problems


def _read_trace(trace: Path) -> list[str]:
    if not trace.exists():
        return []
    calls = [line for line in trace.read_text().splitlines() if "(" in line]
    return [line for line in calls if THREAD_FLAG not in line and "---" not in line]


if __name__ == "__main__":
    main()
