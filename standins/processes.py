"""Starts the system and its stand-ins as separate processes, for demo and tests."""

import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import attrs
import msgspec

from passtally.objects import (
    Endpoint,
    Protection,
    Service,
    ServiceKind,
    Workspace,
    digest_token,
)
from standins.ports import free_port

START_SECONDS = 20.0
STOP_SECONDS = 10.0
POLL_SECONDS = 0.02
RESUME_KEYS = "k1:only-for-demos-and-tests"
OPERATOR_TOKEN = "operator-token-for-demos"


@attrs.define
class Process:
    """Running process with its base URL.

    ``ready_path`` answers 200 once the process is ready; empty if an open port is
    enough.
    """

    name: str
    url: str
    popen: subprocess.Popen
    ready_path: str

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self.popen.send_signal(signal.SIGKILL)
        self.popen.wait()

    def control(self, **switches: Any) -> None:
        """Set the faults that a stand-in injects."""
        call_json("PUT", f"{self.url}/control", switches)

    def counts(self) -> dict[str, Any]:
        """Return the counters of a stand-in."""
        return call_json("GET", f"{self.url}/control")


class Processes:
    """Process group on loopback; leaving the context kills all processes.

    Args:
        folder: Directory for the logs of the processes.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.by_name: dict[str, Process] = {}
        self.platform: Process | None = None
        self.config_version = 0
        self._peer_ports: dict[str, int] = {}
        self._domains_by_host: dict[str, str] = {}

    def __enter__(self) -> "Processes":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Kill all processes that still run, including suspended ones."""
        for process in self.by_name.values():
            if process.popen.poll() is None:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGKILL)
                process.popen.wait()

    def start_platform(self) -> Process:
        """Start the stand-in for the platform."""
        self.platform = self._start_standin("platform", "platform")
        return self.platform

    def start_engine(self, name: str, **options: Any) -> Process:
        """Start a stand-in for an engine; options become command-line flags."""
        flags = [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
        return self._start_standin(name, "engine", *flags)

    def start_booking(self, name: str) -> Process:
        """Start a stand-in for a booking service."""
        return self._start_standin(name, "booking")

    def start_hosts(self, domains_by_host: dict[str, str], **settings: Any) -> None:
        """Start entry hosts that are configured as peers of each other.

        Args:
            domains_by_host: Failure domain of each host, by host name.
            settings: Additional settings of all hosts, by name.
        """
        for name in domains_by_host:
            self._peer_ports.setdefault(name, free_port())
        self._domains_by_host = domains_by_host
        for name in domains_by_host:
            self.start_one_of_hosts(name, **settings)

    def start_one_of_hosts(self, name: str, **settings: Any) -> Process:
        """Start or restart one host of the group passed to ``start_hosts``."""
        domains = self._domains_by_host
        peers = ",".join(
            f"{peer}@{domains[peer]}=127.0.0.1:{self._peer_ports[peer]}"
            for peer in domains
            if peer != name
        )
        return self.start_host(
            name, failure_domain=domains[name], peers=peers, **settings
        )

    def start_host(self, name: str, *, failure_domain: str, **settings: Any) -> Process:
        """Start one entry host.

        Args:
            name: Host id.
            failure_domain: Failure domain of the host.
            settings: Additional settings, by name; they override the defaults.
        """
        port = free_port()
        texts = {
            "host_id": name,
            "failure_domain": failure_domain,
            "listen": f"127.0.0.1:{port}",
            "peer_listen": f"127.0.0.1:{self._peer_ports.get(name) or free_port()}",
            "platform": self.platform.url,
            "resume_keys": RESUME_KEYS,
            "operator_token": OPERATOR_TOKEN,
            "balancer_lag": "100ms",
            "log": str(self.folder / f"{name}.log"),
        } | settings
        flags = [f"--{key.replace('_', '-')}={value}" for key, value in texts.items()]
        command = [sys.executable, "-m", "passtally", "serve", *flags]
        return self.start(name, command, port, "/readyz")

    def wait_ready(self) -> None:
        """Wait until all running processes answer and hosts have the newest config."""
        for process in self.by_name.values():
            if process.popen.poll() is None:
                self._wait_for(process)

    def put_config(self, kind: str, object_id: str, value: object) -> None:
        """Write one configuration object to the platform."""
        self._wait_for(self.platform)
        url = f"{self.platform.url}/v1/objects/config/{kind}/{object_id}"
        self.config_version = call_json("PUT", url, value)["version"]

    def _wait_for(self, process: Process) -> None:
        wanted = self.config_version if process.ready_path == "/readyz" else 0
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            if process.popen.poll() is not None:
                raise RuntimeError(
                    f"{process.name} exited with status {process.popen.returncode}"
                )
            state = _read_state(process)
            if state is not None and state.get("config_version", 0) >= wanted:
                return
            time.sleep(POLL_SECONDS)
        raise RuntimeError(f"{process.name} is not ready after {START_SECONDS} s")

    def add_workspace(self, name: str, **options: Any) -> str:
        """Create a workspace and return its bearer token."""
        token = f"token-of-{name}"
        workspace = Workspace(id=name, token_sha256=digest_token(token), **options)
        self.put_config("workspaces", name, workspace)
        return token

    def add_model(
        self,
        name: str,
        engines: list[tuple[Process, str]],
        *,
        protection: Protection = Protection.ENGINE,
        **options: Any,
    ) -> None:
        """Create a model service and its endpoints, with their failure domains.

        Args:
            name: Id of the service and name of the model.
            engines: Engine processes, each with its failure domain.
            protection: Protection level of the service.
            options: Additional fields of the endpoints.
        """
        service = Service(
            id=name,
            kind=ServiceKind.MODEL,
            model=name,
            version="1",
            protection=protection,
            max_tokens=20_000,
        )
        self.put_config("services", name, service)
        self._add_endpoints(name, engines, **options)

    def add_plain(
        self, name: str, endpoints: list[tuple[Process, str]], **options: Any
    ) -> None:
        """Create a plain service and its endpoints, with their failure domains.

        The options are additional fields of the service.
        """
        service = Service(id=name, kind=ServiceKind.PLAIN, **options)
        self.put_config("services", name, service)
        self._add_endpoints(name, endpoints)

    def _add_endpoints(
        self, service: str, processes: list[tuple[Process, str]], **options: Any
    ) -> None:
        for process, failure_domain in processes:
            endpoint = Endpoint(
                id=process.name,
                service=service,
                url=process.url,
                failure_domain=failure_domain,
                **options,
            )
            self.put_config("endpoints", process.name, endpoint)

    def _start_standin(self, name: str, kind: str, *flags: str) -> Process:
        port = free_port()
        command = [sys.executable, "-m", f"standins.{kind}", f"--port={port}", *flags]
        return self.start(name, command, port, "/control")

    def start(
        self, name: str, command: list[str], port: int, ready_path: str = ""
    ) -> Process:
        """Start a process and register it under its name.

        Args:
            name: Name of the process and of its log file.
            command: Command line.
            port: Loopback port that the command listens on.
            ready_path: Path that answers 200 once the process is ready; empty if
                an open port is enough.
        """
        with open(self.folder / f"{name}.err", "ab") as errors:
            popen = subprocess.Popen(command, stdout=errors, stderr=errors)
        url = f"http://127.0.0.1:{port}"
        process = Process(name, url, popen, ready_path)
        self.by_name[name] = process
        return process


def _read_state(process: Process) -> dict[str, Any] | None:
    """Return the readiness response of a process, or None while it is not ready."""
    try:
        if process.ready_path:
            return call_json("GET", process.url + process.ready_path)
        port = int(process.url.rpartition(":")[2])
        socket.create_connection(("127.0.0.1", port), timeout=1).close()
    except (urllib.error.URLError, OSError):
        return None
    return {}


def call_json(
    method: str, url: str, value: object = None, headers: dict[str, str] | None = None
) -> Any:
    """Make an HTTP call with a JSON body and return the decoded JSON response."""
    data = None if value is None else msgspec.json.encode(value)
    request = urllib.request.Request(
        url, data=data, method=method, headers=headers or {}
    )
    with urllib.request.urlopen(request, timeout=START_SECONDS) as response:
        return msgspec.json.decode(response.read())
