"""One host: where it is reached, and the processes that ran it in turn."""

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
from soak.ends import ENDING_SIGNALS, End, Told
from soak.evidence import now
from soak.link import FaultyLink
from soak.network import FRONT_PORT

#: How long a connection on the loopback may take, in seconds.
CONNECT_SECONDS = 0.5
LAST_LINE_BYTES = 2000
#: What the address for callers is called.
FRONT = "callers"


@attrs.define(kw_only=True, eq=False)
class Life:
    """One process of a host, from its start to its end.

    Attributes:
        host: The host.
        number: Which of the host's lives.
        popen: The process.
        log: Where its output goes.
        started_at: When, on the monotonic clock, in seconds.
        ended_at: When it was seen to have ended; None while it runs.
        told: What the soak has sent it.
        pauses: How many pauses of it are under way.
    """

    host: "HostProcess"
    number: int
    popen: subprocess.Popen
    log: Path
    started_at: float = attrs.field(factory=now)
    ended_at: float | None = None
    told: list[Told] = attrs.field(factory=list)
    pauses: int = 0

    @property
    def name(self) -> str:
        """What it is called in what is reported."""
        return f"{self.host.name}.{self.number}"

    @property
    def is_over(self) -> bool:
        """Whether the process has ended."""
        if self.popen.poll() is None:
            return False
        self.ended_at = self.ended_at or now()
        return True

    @property
    def was_told_to_end(self) -> bool:
        """Whether who told it to end will start the host again."""
        return any(told.number in ENDING_SIGNALS for told in self.told)

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        had_begun = self._has_begun()
        if self.is_over:
            return
        self.told.append(Told(number=number, had_begun=had_begun))
        self.popen.send_signal(number)

    def kill(self) -> None:
        """End it without notice."""
        self.send(signal.SIGKILL)

    def end(self) -> End:
        """Return how it ended; it has to be over."""
        return End(
            host=self.host.name,
            life=self.number,
            status=self.popen.wait(),
            told=tuple(self.told),
            began_at=self.started_at,
            lasted=(self.ended_at or now()) - self.started_at,
            last_line=self.last_line(),
        )

    def last_line(self) -> str:
        """Return the last line of its log."""
        tail = self.log.read_bytes()[-LAST_LINE_BYTES:].decode(errors="replace")
        return (tail.strip().splitlines() or [""])[-1]

    def _has_begun(self) -> bool:
        """Whether the program ran so far that it has a log or can be reached."""
        if self.log.stat().st_size:
            return True
        if FRONT in self.host.held:
            return False
        try:
            socket.create_connection(self.host.front, timeout=CONNECT_SECONDS).close()
        except OSError:
            return False
        return True


@attrs.define(kw_only=True, eq=False)
class HostProcess:
    """One host.

    Attributes:
        name: Its name.
        path: Its settings file.
        settings: What is to stand there, by key.
        ip: The loopback address that it has for itself.
        store_link: Leads to the store, by the address that it is told.
        spare_link: Leads there by another one.
        front_port: Where callers come to.
        lives: Its processes, the last one last.
        held: Which of its addresses another socket has, by name.
    """

    name: str
    path: Path
    settings: dict[str, str]
    ip: str
    store_link: FaultyLink
    spare_link: FaultyLink
    front_port: int = FRONT_PORT
    lives: list[Life] = attrs.field(factory=list)
    held: list[str] = attrs.field(factory=list)

    @property
    def front(self) -> tuple[str, int]:
        """Where callers reach it."""
        return self.ip, self.front_port

    @property
    def addresses_by_name(self) -> dict[str, tuple[str, int]]:
        """All that it listens at."""
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
    def life(self) -> Life:
        """Its process of now, or the last one."""
        return self.lives[-1]

    @property
    def is_up(self) -> bool:
        """Whether its process runs."""
        return bool(self.lives) and not self.life.is_over

    def change_settings(self) -> None:
        """Write something into its settings that changes nothing else."""
        self.settings["soak.note"] = str(now())
        self.write_settings()

    def write_settings(self) -> None:
        """Write its whole settings file."""
        self.path.write_text(self._text)

    def break_settings(self, part: float) -> None:
        """Write a file of which a part is missing at the end; all if that is 0."""
        self.path.write_text(self._text[: int(part * (len(self._text) - 1))])

    async def accepts(self, address: str) -> bool:
        """Return whether a connection to one of its addresses comes up."""
        ip, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, writer = await asyncio.open_connection(ip, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    @property
    def _text(self) -> str:
        return "".join(f"{key}={value}\n" for key, value in self.settings.items())

    def start(self, environment: Mapping[str, str]) -> None:
        """Start a process, unless one runs.

        Args:
            environment: Variables beside those of this process.
        """
        if self.is_up:
            return
        number = len(self.lives) + 1
        log = self.path.with_name(f"{self.name}.{number}.log")
        with log.open("wb") as output:
            popen = subprocess.Popen(
                [sys.executable, "-m", "passtally.platform"],
                env=os.environ | environment | {FILE_VARIABLE: str(self.path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        life = Life(
            host=self,
            number=number,
            popen=popen,
            log=log,
        )
        self.lives.append(life)
