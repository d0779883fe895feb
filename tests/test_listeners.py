"""Listening addresses are opened as soon as they are free.

An address in use must not make its host exit.
"""

import asyncio
import errno
import socket
from datetime import timedelta
from functools import partial

import attrs
import pytest

from passtally.clock import ManualClock
from passtally.listeners import CLOSE_DELAY, LOG_INTERVAL, RETRY_PAUSE, Listeners
from passtally.settings import Address
from standins.processes import Processes, call_json
from standins.virtual import VirtualClock, run_virtually

ADDRESS = Address(host="127.0.0.1", port=8740)


class BusyAddress:
    """An address that is in use for the first attempts.

    Args:
        clock: The clock.
        free_at: The number of the first attempt that succeeds.
    """

    def __init__(self, *, clock: ManualClock, free_at: int) -> None:
        self.tries: list[float] = []
        self._clock = clock
        self._free_at = free_at

    async def open(self) -> None:
        """Open the address, or raise an OSError while it is in use."""
        self.tries.append(self._clock.monotonic().total_seconds())
        if len(self.tries) < self._free_at:
            raise OSError(errno.EADDRINUSE, "Address already in use")


@pytest.fixture
def events(monkeypatch) -> list[str]:
    """The log events of the module under test."""
    logged: list[str] = []
    monkeypatch.setattr(
        "passtally.listeners.log_event",
        lambda part, sentence, **fields: logged.append(f"{part}: {sentence}"),
    )
    return logged


async def open_address(free_at: int) -> tuple[Listeners, BusyAddress]:
    """Open an address and wait until it is open."""
    clock = ManualClock()
    listeners, busy = Listeners(clock=clock), BusyAddress(clock=clock, free_at=free_at)
    await listeners.open("callers", ADDRESS, busy.open)
    if free_at > 1:
        assert not listeners.is_open("callers")
    while not listeners.is_open("callers"):
        await asyncio.sleep(0)
    return listeners, busy


class TestListeners:
    def test_a_free_address_is_open_at_once(self, events):
        listeners, busy = asyncio.run(open_address(1))
        assert listeners.is_open("callers")
        assert not listeners.is_open("metrics")
        assert len(busy.tries) == 1
        assert events == []

    def test_an_address_in_use_is_retried_until_it_is_free(self, events):
        _, busy = asyncio.run(open_address(4))
        pause = RETRY_PAUSE.total_seconds()
        assert busy.tries == pytest.approx([0, pause, 2 * pause, 3 * pause])
        assert events == ["listen: Cannot listen, trying again.", "listen: Open."]

    def test_an_address_that_stays_in_use_is_logged_at_intervals(self, events):
        times = 3
        tries = 2 + times * (LOG_INTERVAL // RETRY_PAUSE)
        asyncio.run(open_address(tries))
        assert events.count("listen: Cannot listen, trying again.") == 1 + times

    def test_a_stop_ends_the_retries(self, events):
        async def main() -> int:
            clock = ManualClock()
            listeners, busy = (
                Listeners(clock=clock),
                BusyAddress(clock=clock, free_at=1000),
            )
            await listeners.open("callers", ADDRESS, busy.open)
            await listeners.stop()
            tried = len(busy.tries)
            await asyncio.sleep(0.01)
            assert len(busy.tries) == tried
            return tried

        assert asyncio.run(main()) < 1000


class TestMoves:
    """On a change of address, the previous one stays open until the new one is."""

    def play(self, *moves: tuple[str, int], free_at: int = 1):
        """Move listeners to ports in turn.

        Returns:
            The listeners, the ports closed, and the ports opened.
        """
        clock, closed, tries = ManualClock(), [], []

        async def open_port(port: int) -> None:
            tries.append(port)
            if len(tries) < free_at:
                raise OSError(errno.EADDRINUSE, "Address already in use")

        async def main() -> Listeners:
            listeners = Listeners(
                clock=clock, on_open=lambda *event: opened.append(event)
            )
            for name, port in moves:
                address = attrs.evolve(ADDRESS, port=port)
                listeners.move(
                    name,
                    address,
                    partial(open_port, port),
                    close=partial(closed.append, port),
                )
                await asyncio.sleep(0)
            for _ in range(1000):
                await asyncio.sleep(0)
            await listeners.stop()
            return listeners

        opened: list[tuple[str, Address]] = []
        return asyncio.run(main()), closed, [address.port for _, address in opened]

    def test_the_previous_address_is_closed_once_the_new_one_is_open(self, events):
        listeners, closed, opened = self.play(("callers", 1), ("callers", 2))
        assert listeners.is_open("callers")
        assert (closed, opened) == ([1], [1, 2])

    def test_the_previous_address_is_closed_even_if_a_sleep_ends_early(
        self, events, monkeypatch
    ):
        sleep = ManualClock.sleep

        async def sleep_less(clock: ManualClock, duration: timedelta) -> None:
            await sleep(clock, duration - timedelta(milliseconds=1))

        monkeypatch.setattr(ManualClock, "sleep", sleep_less)
        _, closed, _ = self.play(("callers", 1), ("callers", 2))
        assert closed == [1]

    def test_an_address_that_is_restored_stays_open_and_is_not_reopened(self, events):
        moves = [("callers", port) for port in (1, 2, 1)]
        listeners, closed, opened = self.play(*moves)
        assert listeners.is_open("callers")
        assert (closed, opened) == ([2], [1, 2, 1])

    def test_two_listeners_swap_addresses(self, events):
        moves = [("callers", 1), ("metrics", 2), ("callers", 2), ("metrics", 1)]
        listeners, closed, _ = self.play(*moves)
        assert listeners.is_open("callers")
        assert listeners.is_open("metrics")
        assert sorted(closed) == [1, 2]

    def test_an_address_that_is_replaced_again_stays_open_for_the_whole_delay(
        self, events
    ):
        closed_at: list[tuple[int, float]] = []

        async def open_address() -> None:
            """Open an address at once."""

        async def main() -> None:
            loop = asyncio.get_running_loop()
            listeners = Listeners(clock=VirtualClock())
            for port, moved_at in ((1, 0), (2, 1), (1, 3), (2, 3.2)):
                await asyncio.sleep(moved_at - loop.time())
                listeners.move(
                    "callers",
                    attrs.evolve(ADDRESS, port=port),
                    open_address,
                    close=lambda port=port: closed_at.append((port, loop.time())),
                )
            await asyncio.sleep(3 * CLOSE_DELAY.total_seconds())

        run_virtually(main())
        assert closed_at == [(1, pytest.approx(3.2 + CLOSE_DELAY.total_seconds()))]

    def test_nothing_runs_between_the_last_check_of_the_settings_and_the_close(
        self, events
    ):
        order: list[str] = []

        async def open_address() -> None:
            """Open an address at once."""

        def check() -> bool:
            order.append("check")
            asyncio.get_running_loop().call_soon(order.append, "other task")
            return True

        async def main() -> None:
            listeners = Listeners(clock=VirtualClock(), are_settings_current=check)
            for port in (1, 2):
                listeners.move(
                    "callers",
                    attrs.evolve(ADDRESS, port=port),
                    open_address,
                    close=partial(order.append, f"close {port}"),
                )
                await asyncio.sleep(0)
            await asyncio.sleep(2 * CLOSE_DELAY.total_seconds())

        run_virtually(main())
        assert order == ["check", "close 1", "other task"]

    def test_an_address_in_use_is_retried_after_a_move(self, events):
        listeners, closed, opened = self.play(("callers", 1), free_at=4)
        assert listeners.is_open("callers")
        assert (closed, opened) == ([], [1])
        assert events == ["listen: Cannot listen, trying again.", "listen: Open."]


class TestServe:
    def test_the_command_retries_its_addresses_too(self, tmp_path):
        with Processes(tmp_path) as processes:
            processes.start_platform()
            processes.put_config("workspaces", "w", {"id": "w", "token_sha256": "0"})
            with (
                # Occupied from the moment that the system assigns their ports.
                socket.create_server(("127.0.0.1", 0)) as holder,
                socket.create_server(("127.0.0.1", 0)) as peer_holder,
            ):
                port = holder.getsockname()[1]
                peer_port = peer_holder.getsockname()[1]
                host = processes.start_host(
                    "entry-a",
                    failure_domain="pilar",
                    listen=f"127.0.0.1:{port}",
                    peer_listen=f"127.0.0.1:{peer_port}",
                )
                log = tmp_path / "entry-a.log"
                while not log.exists() or log.read_text().count("trying again") < 2:
                    assert host.popen.poll() is None
            host.url = f"http://127.0.0.1:{port}"
            processes.wait_ready()
            assert call_json("GET", f"{host.url}/readyz")
