"""Answers that end by the close of their connection, and hosts that die meanwhile."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator

import attrs
import pytest

from tests.unframed_server import UNREAD_TIMEOUT

#: Bytes that fit into the buffers of the connection, and bytes that do not.
SMALL, LARGE = 1_000, 32 * 1024 * 1024
#: Time in which a part of an answer arrives, in seconds.
ARRIVAL_SECONDS = 10.0
#: Time in which the process passes a small answer on to the system, in seconds.
SETTLE_SECONDS = 0.3


@attrs.define(kw_only=True)
class Server:
    """The process, and the ports of its two servers."""

    process: subprocess.Popen
    ports: list[int]

    @contextlib.contextmanager
    def ask(
        self, interface: int, path: str, version: str = "1.1"
    ) -> Iterator[socket.socket]:
        address = "127.0.0.1", self.ports[interface]
        with socket.create_connection(address, timeout=ARRIVAL_SECONDS) as caller:
            caller.sendall(f"GET /{path} HTTP/{version}\r\nHost: h\r\n\r\n".encode())
            yield caller

    def end(self, how: signal.Signals) -> None:
        self.process.send_signal(how)
        self.process.wait()


@pytest.fixture
def server() -> Iterator[Server]:
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.unframed_server"],
        stdout=subprocess.PIPE,
        env=os.environ | {"UV_USE_IO_URING": "0"},
    )
    try:
        ports = [int(port) for port in process.stdout.readline().split()]
        yield Server(process=process, ports=ports)
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def read_all(caller: socket.socket, received: bytes = b"") -> tuple[int, bool]:
    """Return the size of the body, and whether the connection ended in order."""
    parts = [received]
    try:
        while data := caller.recv(1 << 20):
            parts.append(data)
    except ConnectionResetError:
        is_in_order = False
    else:
        is_in_order = True
    _, _, body = b"".join(parts).partition(b"\r\n\r\n")
    return len(body), is_in_order


def read_some(caller: socket.socket, size: int) -> bytes:
    """Read at least a number of bytes of the answer."""
    data = b""
    while len(data) < size:
        data += caller.recv(1 << 16)
    return data


@pytest.mark.parametrize("interface", [0, 1], ids=["routes", "own"])
class TestDeath:
    # Guards against a truncated answer that looks complete, since the system closes
    # the connections of a dead process in order.
    @pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGTERM])
    @pytest.mark.parametrize("version", ["1.1", "1.0"])
    def test_an_answer_that_is_cut_short_is_reset(
        self, server, interface, version, how
    ):
        with server.ask(interface, f"{SMALL}/part", version) as caller:
            received = read_some(caller, SMALL)
            server.end(how)
            assert not read_all(caller, received)[1]

    # Guards against a complete answer that is lost to a reset.
    def test_a_complete_answer_that_is_not_read_yet_arrives(self, server, interface):
        with server.ask(interface, f"{SMALL}/whole") as caller:
            time.sleep(SETTLE_SECONDS)
            server.end(signal.SIGKILL)
            assert read_all(caller) == (SMALL, True)

    # Guards against the part that the system has of an answer, of which the process
    # still held the rest.
    def test_a_complete_answer_whose_rest_was_not_sent_is_reset(
        self, server, interface
    ):
        with server.ask(interface, f"{LARGE}/whole") as caller:
            received = read_some(caller, SMALL)
            time.sleep(SETTLE_SECONDS)
            server.end(signal.SIGKILL)
            size, is_in_order = read_all(caller, received)
            assert size < LARGE
            assert not is_in_order


@pytest.mark.parametrize("interface", [0, 1], ids=["routes", "own"])
class TestSlowReaders:
    # Guards against the end of an answer that is lost to a reset after its last byte.
    def test_they_receive_the_whole_answer(self, server, interface):
        with server.ask(interface, f"{LARGE}/whole") as caller:
            received = read_some(caller, SMALL)
            time.sleep(SETTLE_SECONDS)
            assert read_all(caller, received) == (LARGE, True)


class TestUnreadAnswers:
    # Guards against an answer that the host aborts, since its caller does not read it,
    # and that looks complete to a caller that reads on.
    def test_an_aborted_answer_is_reset(self, server):
        with server.ask(0, f"{LARGE}/whole") as caller:
            received = read_some(caller, SMALL)
            time.sleep(UNREAD_TIMEOUT.total_seconds() * 1.5)
            size, is_in_order = read_all(caller, received)
            assert size < LARGE
            assert not is_in_order
