"""A caller that reads slowly costs no memory, loses nothing, and trips no limit."""

import json
import re
import socket
import time
from collections.abc import Iterator
from urllib.parse import urlsplit

import pytest

from bench.load import memory_mb
from standins.model import answer_to
from standins.processes import Processes
from tests.conftest import System

PROMPT = "\n".join(f"ruta 8 km {n},  pilar - ñandú {n * 7}" for n in range(700))
STALL_SECONDS = 5
MAX_GROWTH_MB = 8


@pytest.fixture
def fast(tmp_path) -> Iterator[System]:
    """One host, one fast engine."""
    with Processes(tmp_path) as processes:
        processes.start_platform()
        engine = processes.start_engine("runner-pilar", step=0.0005)
        processes.add_model("drafting", [(engine, "pilar")])
        token = processes.add_workspace("couriers")
        processes.start_hosts({"entry-a": "pilar"})
        processes.wait_ready()
        yield System(processes, token)


def open_stream(system: System) -> socket.socket:
    body = json.dumps(
        {
            "model": "drafting",
            "messages": [{"role": "user", "content": PROMPT}],
            "stream": True,
        }
    ).encode()
    address = urlsplit(system.url("entry-a"))
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.settimeout(30)
    connection.connect((address.hostname, address.port))
    head = (
        f"POST /v1/chat/completions HTTP/1.0\r\nHost: x\r\n"
        f"Authorization: Bearer {system.token}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    connection.sendall(head.encode() + body)
    return connection


def read_text(connection: socket.socket) -> str:
    data = b""
    while chunk := connection.recv(1 << 16):
        data += chunk
    parts = re.findall(rb'"content":("(?:[^"\\]|\\.)*")', data)
    return "".join(json.loads(part) for part in parts)


class TestSlowCaller:
    def test_it_gets_all_and_costs_no_memory(self, fast: System):
        pid = fast["entry-a"].popen.pid
        connection = open_stream(fast)
        connection.recv(1000)
        before = memory_mb(pid)
        time.sleep(STALL_SECONDS)
        assert memory_mb(pid) - before < MAX_GROWTH_MB
        connection.close()
        connection = open_stream(fast)
        time.sleep(STALL_SECONDS)
        assert read_text(connection) == answer_to(f"user: {PROMPT}")
        connection.close()
        assert fast["runner-pilar"].counts()["requests"] == 2, "no limit was tripped"
