"""An address that another process takes is retried, at whatever moment it is taken.

These tests guard against the following failures:

- Of three hosts that share the address of the metrics, one exited with status 1 at its
  start. With SO_REUSEADDR, two sockets may be bound to one address while neither
  listens, and the kernel refuses the ``listen()`` of the second. uvloop drops that
  error and returns a server without a socket.
- After a change of settings, the same error ended the task that opens the new address.
  It was not opened until the next change, and no line was logged.
- An early socket for callers that had been closed was tried again for as long as the
  host ran.
"""

import asyncio
import contextlib
import socket
from collections.abc import Coroutine, Iterator
from functools import partial
from typing import Any
from unittest.mock import AsyncMock, Mock

import attrs
import pytest
import uvloop

from passtally.clock import SystemClock
from passtally.drain import Drain
from passtally.held_bodies import MAX_BODIES, HeldBodies
from passtally.host_servers import HostServers
from passtally.http_exchange import Exchange, ServerLimits
from passtally.http_server import HttpServer
from passtally.listeners import CALLERS, Listeners, Open
from passtally.message_signing import MessageSigner
from passtally.metrics import NoMetrics
from passtally.output_buffers import OutputBuffers
from passtally.own_interface import OwnInterface
from passtally.settings import Address, check_settings
from passtally.tunnel_server import TunnelServer
from standins.ports import free_ports
from tests.host_process import connect

#: Settings of which only the addresses and the limits are used.
SETTINGS = check_settings(
    {
        "host_id": "front-pilar-1",
        "failure_domain": "pilar",
        "platform": "http://127.0.0.1:1",
        "resume_keys": f"k:{'k' * 64}",
    }
)


class OtherProcess:
    """A process that listens at an address between another's bind and listen."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", 0))
        self.address = Address(host="127.0.0.1", port=self._socket.getsockname()[1])

    def listen(self) -> None:
        """Start to listen, unless that was done or the process has ended."""
        if self._socket.fileno() >= 0:
            self._socket.listen()

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()


@pytest.fixture
def other(monkeypatch) -> Iterator[OtherProcess]:
    """Another process, which is the first to listen at its address."""
    bind = socket.socket.bind
    with contextlib.closing(OtherProcess()) as process:

        def bind_then_lose(bound: socket.socket, address: tuple[str, int]) -> None:
            bind(bound, address)
            if address[1] == process.address.port:
                process.listen()

        monkeypatch.setattr(socket.socket, "bind", bind_then_lose, raising=False)
        yield process


@pytest.fixture
def events(monkeypatch) -> list[str]:
    """The log events of the listeners."""
    logged: list[str] = []
    monkeypatch.setattr(
        "passtally.listeners.log_event",
        lambda part, sentence, **fields: logged.append(f"{part}: {sentence}"),
    )
    return logged


def run_on_uvloop(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on the event loop that hosts use."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work)


async def wait_until_open(listeners: Listeners, address: Address) -> None:
    """Wait until callers can connect to an address."""
    async with asyncio.timeout(10):
        while not listeners.is_open(CALLERS):
            await asyncio.sleep(0.01)
    _, writer = await connect(address.port, address.host)
    writer.close()


async def answer_nothing(exchange: Exchange) -> None:
    """Answer a request without a body."""
    await exchange.answer(204, [], b"")


def make_http_server(address: Address) -> Open:
    """Return what opens the server of callers, readiness probes or metrics."""
    server = HttpServer(handle=answer_nothing)
    return partial(server.start, address.host, address.port)


def make_tunnels() -> TunnelServer:
    """Return a server of tunnels, which none of the tests opens a tunnel to."""
    return TunnelServer(
        signer=MessageSigner(keys=[b"key"]),
        connect=AsyncMock(),
        is_cut_off=AsyncMock(return_value=False),
        drain=Drain(max_open=10),
        metrics=NoMetrics(),
    )


def make_tunnel_server(address: Address) -> Open:
    """Return what opens the server of tunnels."""
    return partial(make_tunnels().start, address.host, address.port)


def make_own_interface(address: Address) -> Open:
    """Return what opens the server of the own interface."""
    interface = OwnInterface(
        settings=attrs.evolve(SETTINGS, listen=address),
        metrics=NoMetrics(),
        completions=AsyncMock(),
        plain=AsyncMock(),
        operator_api=Mock(),
        is_ready=lambda: True,
        is_stopping=lambda: False,
        config_version=lambda: 1,
    )

    async def listen() -> None:
        await interface.start()
        await interface.listen()

    return listen


@pytest.mark.parametrize(
    "make", [make_http_server, make_tunnel_server, make_own_interface]
)
class TestAddressTakenBeforeListen:
    def test_a_start_reports_and_retries_it(self, other, events, make):
        async def main() -> None:
            listeners = Listeners(clock=SystemClock())
            await listeners.open(CALLERS, other.address, make(other.address))
            assert not listeners.is_open(CALLERS)
            assert events == ["listen: Cannot listen, trying again."]
            other.close()
            await wait_until_open(listeners, other.address)

        run_on_uvloop(main())

    def test_a_move_reports_and_retries_it(self, other, events, make):
        async def main() -> None:
            listeners = Listeners(clock=SystemClock())
            listeners.move(CALLERS, other.address, make(other.address))
            async with asyncio.timeout(10):
                while not events:
                    await asyncio.sleep(0.01)
            assert events == ["listen: Cannot listen, trying again."]
            assert not listeners.is_open(CALLERS)
            other.close()
            await wait_until_open(listeners, other.address)

        run_on_uvloop(main())


class TestEarlySocket:
    def make_servers(self, listeners: Listeners) -> HostServers:
        """Return the servers of a host."""
        return HostServers(
            listeners=listeners,
            peers=Mock(bind=AsyncMock()),
            tunnels=make_tunnels(),
            handle=answer_nothing,
            limits=ServerLimits,
            accepted=lambda waited: None,
            encode_ready=lambda: (200, b""),
            render_metrics=lambda: b"",
            output=OutputBuffers(),
            bodies=HeldBodies(limit=MAX_BODIES),
        )

    @pytest.mark.parametrize("is_closed", [False, True])
    def test_callers_are_served_even_if_it_was_closed(self, is_closed):
        async def main() -> None:
            callers, ready = (
                Address(host="127.0.0.1", port=port) for port in free_ports(2)
            )
            settings = attrs.evolve(SETTINGS, listen=callers, ready_listen=ready)
            early = socket.create_server((callers.host, callers.port))
            if is_closed:
                early.close()
            listeners = Listeners(clock=SystemClock())
            servers = self.make_servers(listeners)
            await servers.open(settings, front_socket=early)
            await wait_until_open(listeners, callers)
            await listeners.stop()
            await servers.stop()

        run_on_uvloop(main())
