"""An address that the settings file names again is not closed, whatever came first.

A replaced address is closed some time later. If the file names it again meanwhile, its
callers come back to it, although the host may not have read the file yet. The order of
the two is controlled here in virtual time, and with a host's process.
"""

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator, Callable
from functools import partial
from pathlib import Path

import attrs
import msgspec
import pytest

from passtally import listeners
from passtally.listeners import (
    CLOSE_DELAY,
    MAX_CLOSE_CHECKS,
    RETRY_PAUSE,
    Close,
    Listeners,
    Open,
)
from passtally.platform.settings import translate_text
from passtally.platform.settings_watch import SETTLE_TIME, SettingsWatch
from passtally.settings import Address, Settings
from standins.ports import free_ports
from standins.virtual import VirtualClock, run_virtually
from tests.host_process import Running, messages, running, wait_for, wait_ready
from tests.test_settings_changes import cut_at, is_open, replace_line

TEXT = """\
node_name=front-pilar-1
zone=pilar
ip=127.0.0.1
port_range=8100,8199
listen.front=127.0.0.1:8001
listen.ready=127.0.0.1:8002
listen.control=127.0.0.1:8003
platform.address=127.0.0.1:8005
"""
#: The key of each listener's address in the file, with another value.
OTHER_BY_LISTENER = {
    listeners.CALLERS: ("listen.front", "127.0.0.1:9001"),
    listeners.READINESS: ("listen.ready", "127.0.0.1:9002"),
    listeners.PEERS: ("listen.control", "127.0.0.1:9003"),
    listeners.TUNNELS: ("port_range", "9100,9199"),
    listeners.METRICS: ("ip", "127.0.0.9"),
}
#: The setting that holds each listener's address.
SETTING_BY_LISTENER = {
    listeners.CALLERS: "listen",
    listeners.READINESS: "ready_listen",
    listeners.PEERS: "peer_listen",
    listeners.TUNNELS: "tunnel_listen",
    listeners.METRICS: "metrics_listen",
}
#: Time from a signal until a replaced address is due to be closed, in seconds.
DUE_SECONDS = (SETTLE_TIME + CLOSE_DELAY).total_seconds()
#: Maximum time that a replaced address stays open after that, in seconds.
POSTPONED_SECONDS = (MAX_CLOSE_CHECKS * RETRY_PAUSE).total_seconds()
#: Time for which an unfinished file is left, in seconds.
UNFINISHED_SECONDS = 0.25
#: Interval between two checks of what is open, in seconds.
STEP_SECONDS = 0.02
#: Time after an address is named again until the other one must be closed, in seconds:
#: the file is looked at each second, and changes for up to 1.5 s.
RETURN_SECONDS = DUE_SECONDS + 3


class ListeningHost:
    """A host with listeners alone, whose addresses are always available.

    Args:
        settings: The settings at the start.
        clock: The clock.
        are_settings_current: See :class:`Listeners`.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        clock: VirtualClock,
        are_settings_current: Callable[[], bool],
    ) -> None:
        self.settings = settings
        #: Whether it can't apply a change of its failure domain.
        self.is_domain_fixed = False
        self.open_addresses: set[tuple[str, Address]] = set()
        self.listeners = Listeners(
            clock=clock, are_settings_current=are_settings_current
        )

    async def start(self) -> None:
        """Open all addresses."""
        for name in SETTING_BY_LISTENER:
            address = self.address_of(name)
            open_address, close = self._make_calls(name, address)
            await self.listeners.open(name, address, open_address, close=close)

    def address_of(self, name: str, settings: Settings | None = None) -> Address | None:
        """Return a listener's address by some settings; by default those in force."""
        return getattr(settings or self.settings, SETTING_BY_LISTENER[name])

    def reload(self, settings: Settings) -> None:
        """Move the listeners whose addresses have changed."""
        before, self.settings = self.settings, settings
        if self.is_domain_fixed:
            self.settings = attrs.evolve(settings, failure_domain=before.failure_domain)
        for name in SETTING_BY_LISTENER:
            if self.address_of(name) != self.address_of(name, before):
                self._move(name)

    def _move(self, name: str) -> None:
        address = self.address_of(name)
        open_address, close = self._make_calls(name, address)
        self.listeners.move(name, address, open_address, close=close)

    def _make_calls(self, name: str, address: Address | None) -> tuple[Open, Close]:
        """Return the functions that open and close an address."""

        async def open_address() -> None:
            self.open_addresses.add((name, address))

        return open_address, partial(self.open_addresses.discard, (name, address))


@attrs.frozen(kw_only=True)
class WatchedHost:
    """A host that follows a settings file, in virtual time.

    Attributes:
        path: The settings file.
        host: The host.
        watch: The watch of the file.
        watching: Its task.
        listener: The name of the listener that is moved.
        kept: The address that the file names at first and again later.
        moved: The text of the file with another address.
    """

    path: Path
    host: ListeningHost
    watch: SettingsWatch
    watching: asyncio.Task[None]
    listener: str
    kept: Address
    moved: str

    @property
    def is_kept_open(self) -> bool:
        """Whether the address that the file names again is open."""
        return (self.listener, self.kept) in self.host.open_addresses

    @property
    def has_other_open(self) -> bool:
        """Whether the listener has another address open."""
        return any(
            name == self.listener and address != self.kept
            for name, address in self.host.open_addresses
        )

    def write(self, text: str, *, is_signalled: bool = False) -> None:
        """Write the file, and make the host look at it if ``is_signalled``."""
        self.path.write_text(text)
        if is_signalled:
            self.watch.check_now()


async def follow(path: Path, listener: str, *, look_after: float) -> WatchedHost:
    """Move a listener of a host to another address.

    Args:
        path: The settings file.
        listener: The name of the listener.
        look_after: Time after the move at which the host looks at the file, in seconds.
            From then on it does each second, so this sets the order of its looks and
            the close.
    """
    clock = VirtualClock()
    watch = SettingsWatch(path=path, clock=clock)
    path.write_text(TEXT)
    settings = translate_text(TEXT)
    host = ListeningHost(
        settings=settings, clock=clock, are_settings_current=watch.is_current
    )
    watched = WatchedHost(
        path=path,
        host=host,
        watch=watch,
        watching=asyncio.create_task(watch.run(host)),
        listener=listener,
        kept=host.address_of(listener),
        moved=replace_line(TEXT, *OTHER_BY_LISTENER[listener]),
    )
    await host.start()
    await asyncio.sleep(2)
    watched.write(watched.moved, is_signalled=True)
    await asyncio.sleep(look_after)
    watch.check_now()
    return watched


async def name_whole(watched: WatchedHost) -> None:
    """Write the whole file at once, without a signal."""
    watched.write(TEXT)


async def name_with_signal(watched: WatchedHost) -> None:
    """Write the whole file at once, with a signal."""
    watched.write(TEXT, is_signalled=True)


async def name_while_suspended(watched: WatchedHost) -> None:
    """Write the whole file while the host is suspended."""
    watched.write(TEXT)
    asyncio.get_running_loop().pause(2)


async def _name_after(watched: WatchedHost, unfinished: str) -> None:
    """Leave an unfinished file that the host looks at, then write the whole one."""
    watched.write(unfinished, is_signalled=True)
    await asyncio.sleep(UNFINISHED_SECONDS)
    watched.write(TEXT)


async def name_after_empty_file(watched: WatchedHost) -> None:
    """Leave a file that is rejected, then write the whole one."""
    await _name_after(watched, "")


async def name_after_cut_address(watched: WatchedHost) -> None:
    """Leave a file whose address lacks its last character, then write the whole one."""
    key, _ = OTHER_BY_LISTENER[watched.listener]
    await _name_after(watched, cut_at(TEXT, key))


async def name_after_mixed_file(watched: WatchedHost) -> None:
    """Leave a file that is overwritten up to the address, then write the whole one."""
    await _name_after(watched, replace_line(watched.moved, "zone", "tigre"))


async def name_after_removal(watched: WatchedHost) -> None:
    """Leave no file, then write the whole one."""
    watched.path.unlink()
    watched.watch.check_now()
    await asyncio.sleep(UNFINISHED_SECONDS)
    watched.write(TEXT)


async def name_in_changing_file(watched: WatchedHost) -> None:
    """Write the whole file again and again, with other comments."""
    for number in range(50):
        watched.write(f"{TEXT}# {number}\n")
        await asyncio.sleep(0.03)
    watched.write(TEXT)


WAYS = [
    name_whole,
    name_with_signal,
    name_while_suspended,
    name_after_empty_file,
    name_after_cut_address,
    name_after_mixed_file,
    name_after_removal,
    name_in_changing_file,
]


def play(path: Path, listener: str, name_again, after: float, look_after: float):
    """Move a listener, name its former address again, and look what is open.

    Args:
        path: The settings file.
        listener: The name of the listener.
        name_again: Writes the file.
        after: Time from the move until that begins, in seconds.
        look_after: See :func:`follow`.

    Returns:
        The times after the move at which the address was not open, and whether another
        one was open at the end.
    """

    async def main() -> tuple[list[float], bool]:
        loop = asyncio.get_running_loop()
        watched = await follow(path, listener, look_after=look_after)
        moved_at = loop.time() - look_after
        await asyncio.sleep(after - look_after)
        naming = asyncio.create_task(name_again(watched))
        closed_at = []
        while loop.time() < moved_at + after + RETURN_SECONDS:
            await asyncio.sleep(STEP_SECONDS)
            if not watched.is_kept_open:
                closed_at.append(round(loop.time() - moved_at, 2))
        await naming
        return closed_at, watched.has_other_open

    return run_virtually(main())


class TestOrders:
    """Each order of a look at the file, the naming and the close."""

    @pytest.mark.parametrize("name_again", WAYS)
    @pytest.mark.parametrize("look_after", [0.13, 0.45, 0.95])
    def test_callers_keep_an_address_that_is_named_again(
        self, tmp_path, name_again, look_after
    ):
        for hundredths in range(400, 510, 7):
            after = hundredths / 100
            closed_at, has_other_open = play(
                tmp_path / "node.conf",
                listeners.CALLERS,
                name_again,
                after,
                look_after,
            )
            assert closed_at == [], after
            assert not has_other_open, after

    @pytest.mark.parametrize("name_again", WAYS)
    @pytest.mark.parametrize("listener", OTHER_BY_LISTENER)
    def test_so_does_each_listener(self, tmp_path, name_again, listener):
        for after in (4.6, 4.95, 5.08):
            result = play(tmp_path / "node.conf", listener, name_again, after, 0.45)
            assert result == ([], False), after


class TestLimits:
    """What the settings do not name any more is closed, whatever the file holds."""

    async def leave_unusable(self, watched: WatchedHost, fault: str) -> None:
        """Make the file one by which the host can't tell what the settings are."""
        match fault:
            case "removed":
                watched.path.unlink()
            case "rejected":
                watched.write("")
            case "applied in part":
                watched.host.is_domain_fixed = True
                watched.write(replace_line(watched.moved, "zone", "tigre"))
            case "always changing":
                for number in range(10_000):
                    watched.write(f"{watched.moved}# {number}\n")
                    await asyncio.sleep(0.03)

    @pytest.mark.parametrize(
        "fault", ["removed", "rejected", "applied in part", "always changing"]
    )
    @pytest.mark.parametrize("listener", OTHER_BY_LISTENER)
    def test_a_replaced_address_is_closed_after_a_limited_time(
        self, tmp_path, listener, fault
    ):
        async def main() -> float:
            loop = asyncio.get_running_loop()
            watched = await follow(tmp_path / "node.conf", listener, look_after=0.45)
            due_at = loop.time() - 0.45 + DUE_SECONDS
            await asyncio.sleep(3)
            spoiling = asyncio.create_task(self.leave_unusable(watched, fault))
            while watched.is_kept_open:
                await asyncio.sleep(STEP_SECONDS)
            spoiling.cancel()
            assert watched.has_other_open
            return loop.time() - due_at

        expected = pytest.approx(POSTPONED_SECONDS, abs=2 * STEP_SECONDS)
        assert run_virtually(main()) == expected

    def test_a_suspension_uses_up_no_checks(self, tmp_path):
        async def main() -> None:
            watched = await follow(
                tmp_path / "node.conf", listeners.CALLERS, look_after=0.45
            )
            watched.path.unlink()
            await asyncio.sleep(DUE_SECONDS + 1)
            watched.write(TEXT)
            asyncio.get_running_loop().pause(3 * POSTPONED_SECONDS)
            for _ in range(int(RETURN_SECONDS / STEP_SECONDS)):
                await asyncio.sleep(STEP_SECONDS)
                assert watched.is_kept_open

        run_virtually(main())

    def test_a_stop_does_not_wait_for_a_postponed_close(self, tmp_path):
        async def main() -> None:
            loop = asyncio.get_running_loop()
            watched = await follow(
                tmp_path / "node.conf", listeners.CALLERS, look_after=0.45
            )
            watched.path.unlink()
            await asyncio.sleep(DUE_SECONDS + 1)
            assert watched.is_kept_open
            began_at = loop.time()
            await watched.host.listeners.stop()
            watched.watching.cancel()
            await asyncio.gather(watched.watching, return_exceptions=True)
            assert loop.time() == began_at
            assert asyncio.all_tasks() == {asyncio.current_task()}

        run_virtually(main())

    def test_an_address_that_another_listener_needs_is_closed_at_once(self, tmp_path):
        """The file has just changed, so its settings do not count as current."""
        text = replace_line(TEXT, "listen.front", "127.0.0.1:8002")
        swapped = replace_line(text, "listen.ready", "127.0.0.1:8001")

        async def main() -> None:
            watched = await follow(
                tmp_path / "node.conf", listeners.METRICS, look_after=0.45
            )
            watched.write(swapped, is_signalled=True)
            await asyncio.sleep(SETTLE_TIME.total_seconds() + STEP_SECONDS)
            assert not watched.watch.is_current()
            open_addresses = watched.host.open_addresses
            for name, before in (
                (listeners.CALLERS, listeners.READINESS),
                (listeners.READINESS, listeners.CALLERS),
            ):
                address = watched.host.address_of(name)
                assert (name, address) in open_addresses
                assert (before, address) not in open_addresses

        run_virtually(main())


#: Interval between two callers, in seconds.
CALL_INTERVAL = 0.02
#: Time after the file names the address again for which callers ask there, in seconds:
#: until long after the host would have closed it.
CALL_SECONDS = 4.0


def applied_at(log: Path) -> float:
    """Return the wall-clock time at which a host last applied a setting."""
    lines = map(msgspec.json.decode, log.read_bytes().splitlines())
    return max(
        line["timestamp"] for line in lines if line["message"] == "settings: Applied."
    )


async def write_whole(host: Running, text: str) -> None:
    """Replace the file at once, and send no signal."""
    new = host.path.with_suffix(".new")
    new.write_text(text)
    new.replace(host.path)


async def write_and_signal(host: Running, text: str) -> None:
    """Replace the file at once, and send SIGHUP."""
    await write_whole(host, text)
    host.process.send_signal(signal.SIGHUP)


async def write_in_halves(host: Running, text: str) -> None:
    """Leave half of the file, which the host looks at, for a while."""
    host.path.write_text(text[: len(text) // 2])
    host.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(UNFINISHED_SECONDS)
    host.path.write_text(text)


async def write_while_suspended(host: Running, text: str) -> None:
    """Replace the file while the host is suspended, until after its close is due."""
    host.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(0.5)
    await write_whole(host, text)
    await asyncio.sleep(2)
    host.process.send_signal(signal.SIGCONT)


async def write_after_removal(host: Running, text: str) -> None:
    """Leave no file for a while."""
    host.path.unlink()
    await asyncio.sleep(UNFINISHED_SECONDS)
    host.path.write_text(text)


async def count_refused(port: int) -> int:
    """Connect to a port at short intervals, and count the refused connections."""
    count = 0
    until = time.monotonic() + CALL_SECONDS
    while time.monotonic() < until:
        count += not await is_open(port)
        await asyncio.sleep(CALL_INTERVAL)
    return count


@contextlib.asynccontextmanager
async def moved_host(folder: Path, after: float) -> AsyncIterator[tuple[Running, str]]:
    """Run a host that moved its address for callers a while ago.

    Args:
        folder: A folder of its own.
        after: Time since the move, in seconds. The host closes the address 5 s after
            it.

    Yields:
        The host, and its settings file from before the move.
    """
    folder.mkdir()
    async with running(folder) as host:
        await wait_ready(host)
        before = host.path.read_text()
        port, *_ = free_ports(1)
        moved = replace_line(before, "listen.front", f"127.0.0.1:{port}")
        await write_and_signal(host, moved)
        await wait_for(host.log, "settings: Applied.")
        await asyncio.sleep(applied_at(host.log) + after - time.time())
        yield host, before


class TestProcess:
    """Hosts run side by side, since each has to wait until the close is due."""

    def test_callers_are_served_where_the_file_names_an_address_again(self, tmp_path):
        async def play(write, after: float) -> int:
            folder = tmp_path / f"{write.__name__}-{after}"
            async with moved_host(folder, after) as (host, before):
                await write(host, before)
                return await count_refused(host.front)

        async def main() -> list[int]:
            return await asyncio.gather(
                play(write_whole, 4.4),
                play(write_whole, 4.85),
                play(write_and_signal, 4.95),
                play(write_in_halves, 4.8),
                play(write_while_suspended, 3.9),
                play(write_after_removal, 4.8),
            )

        assert asyncio.run(main()) == [0] * 6

    def test_without_a_file_the_address_is_closed_and_a_stop_does_not_wait(
        self, tmp_path
    ):
        async def close(folder: Path) -> None:
            async with moved_host(folder, 4.5) as (host, _):
                host.path.unlink()
                await wait_for(host.log, "listen: Close postponed")
                await wait_for(host.log, "listen: Closed.")
                assert not await is_open(host.front)

        async def stop(folder: Path) -> None:
            async with moved_host(folder, 4.5) as (host, _):
                host.path.unlink()
                await wait_for(host.log, "listen: Close postponed")
                host.process.send_signal(signal.SIGTERM)
                # The grace period is 3 s.
                await asyncio.to_thread(host.process.wait, 5)
                assert host.process.returncode == 0
                assert "listen: Closed." not in messages(host.log)

        async def main() -> None:
            await asyncio.gather(close(tmp_path / "close"), stop(tmp_path / "stop"))

        asyncio.run(main())
