"""One host of a soak run: its addresses, settings file and successive processes."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path

import attrs

from passtally.platform.settings import METRICS_PORT
from passtally.platform.settings_file import FILE_VARIABLE
from soak.ends import ENDING_SIGNALS, ProcessExit, SentSignal
from soak.evidence import now
from soak.link import FaultyLink
from soak.network import FRONT_PORT

#: Timeout for a connection over the loopback interface, in seconds.
CONNECT_TIMEOUT_SECONDS = 0.5
#: Number of bytes at the end of a log in which its last line is looked for.
LAST_LINE_BYTES = 2000
#: Name of the address for callers, among the addresses of a host.
FRONT = "callers"


@attrs.define(kw_only=True, eq=False)
class ProcessRun:
    """One process of a host, from its start to its exit.

    Attributes:
        host: The host.
        number: Its number among the host's processes, from 1.
        popen: The process.
        log: The file with its output.
        started_at: Time of its start on the monotonic clock, in seconds.
        ended_at: Time at which its exit was noticed; None while it runs.
        told: The signals that the soak sent to it, in order.
        pauses: Number of pause faults (SIGSTOP) in effect on it.
    """

    host: "HostProcess"
    number: int
    popen: subprocess.Popen
    log: Path
    started_at: float = attrs.field(factory=now)
    ended_at: float | None = None
    told: list[SentSignal] = attrs.field(factory=list)
    pauses: int = 0

    @property
    def name(self) -> str:
        """Its name in reports: the host's name and its number."""
        return f"{self.host.name}.{self.number}"

    @property
    def is_over(self) -> bool:
        """Whether the process has exited; records the time when it is first noticed."""
        if self.popen.poll() is None:
            return False
        self.ended_at = self.ended_at or now()
        return True

    @property
    def was_sent_ending_signal(self) -> bool:
        """Whether the soak sent a signal that stops it, and so restarts the host."""
        return any(told.number in ENDING_SIGNALS for told in self.told)

    def send(self, number: signal.Signals) -> None:
        """Send and record a signal, unless the process has exited."""
        had_started = self._has_started()
        if self.is_over:
            return
        self.told.append(SentSignal(number=number, had_started=had_started))
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL to the process."""
        self.send(signal.SIGKILL)

    def exit_record(self) -> ProcessExit:
        """Return the record of its exit; waits for the exit if it still runs."""
        return ProcessExit(
            host=self.host.name,
            process_run=self.number,
            status=self.popen.wait(),
            told=tuple(self.told),
            began_at=self.started_at,
            lasted=(self.ended_at or now()) - self.started_at,
            last_line=self.last_line(),
        )

    def last_line(self) -> str:
        """Return the last line of its log; empty if there is none."""
        tail = self.log.read_bytes()[-LAST_LINE_BYTES:].decode(errors="replace")
        return (tail.strip().splitlines() or [""])[-1]

    def _has_started(self) -> bool:
        """Whether the program has written a log line or accepts callers.

        A connection proves nothing while another socket occupies the address.
        """
        if self.log.stat().st_size:
            return True
        if FRONT in self.host.held:
            return False
        try:
            socket.create_connection(
                self.host.front, timeout=CONNECT_TIMEOUT_SECONDS
            ).close()
        except OSError:
            return False
        return True


@attrs.define(kw_only=True, eq=False)
class HostProcess:
    """One host, with its settings file and the processes that ran it.

    Attributes:
        name: Its name.
        path: Its settings file.
        settings: The intended content of the settings file, by key.
        ip: Its loopback address, which no other host shares.
        store_link: The link to the store whose address is in its settings.
        spare_link: A second link to the store, for changes of that address.
        front_port: The port that callers connect to.
        process_runs: Its processes in order of their starts.
        held: Names of its addresses that another socket occupies.
    """

    name: str
    path: Path
    settings: dict[str, str]
    ip: str
    store_link: FaultyLink
    spare_link: FaultyLink
    front_port: int = FRONT_PORT
    process_runs: list[ProcessRun] = attrs.field(factory=list)
    held: list[str] = attrs.field(factory=list)

    @property
    def front(self) -> tuple[str, int]:
        """The address that callers connect to."""
        return self.ip, self.front_port

    @property
    def addresses_by_name(self) -> dict[str, tuple[str, int]]:
        """The addresses that it listens on, by name."""
        keys_by_name = {
            FRONT: "listen.front",
            "readiness": "listen.ready",
            "other hosts": "listen.control",
        }
        ports = {
            name: int(self.settings[key].rpartition(":")[2])
            for name, key in keys_by_name.items()
        }
        ports["metrics"] = METRICS_PORT
        return {name: (self.ip, port) for name, port in ports.items()}

    @property
    def process_run(self) -> ProcessRun:
        """Its latest process, whether it runs or has exited."""
        return self.process_runs[-1]

    @property
    def is_up(self) -> bool:
        """Whether its latest process is running."""
        return bool(self.process_runs) and not self.process_run.is_over

    def touch_settings(self) -> None:
        """Write its settings file with a new value of a key that has no effect."""
        self.settings["soak.note"] = str(now())
        self.write_settings()

    def write_settings(self) -> None:
        """Write its complete settings file."""
        self.path.write_text(self._text)

    def write_truncated_settings(self, part: float) -> None:
        """Write its settings file truncated to a share of its length.

        Args:
            part: The share, from 0 (an empty file) to 1 (all but the last character).
        """
        self.path.write_text(self._text[: int(part * (len(self._text) - 1))])

    async def accepts(self, address: str) -> bool:
        """Return whether an address accepts connections."""
        ip, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(ip, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    @property
    def _text(self) -> str:
        return "".join(f"{key}={value}\n" for key, value in self.settings.items())

    def start(self, environment: Mapping[str, str]) -> None:
        """Start a process, unless one is running.

        Args:
            environment: Environment variables, added to those of the soak.
        """
        if self.is_up:
            return
        number = len(self.process_runs) + 1
        log = self.path.with_name(f"{self.name}.{number}.log")
        with log.open("wb") as output:
            popen = subprocess.Popen(
                [sys.executable, "-m", "passtally.platform"],
                env=os.environ | environment | {FILE_VARIABLE: str(self.path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        process_run = ProcessRun(
            host=self,
            number=number,
            popen=popen,
            log=log,
        )
        self.process_runs.append(process_run)
