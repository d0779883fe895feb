"""Runs an entry host by the platform's settings file."""

import asyncio
import os
import signal
import socket
import sys
import time
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import BinaryIO

import aiomisc
import eliot
import uvloop

from passtally.address_space import limit_arenas
from passtally.clock import SystemClock
from passtally.decision import log_event
from passtally.descriptors import check_free
from passtally.front_host import FrontHost
from passtally.log_output import LogOutput
from passtally.platform.adapter import PlatformAdapter
from passtally.platform.settings import read_settings
from passtally.platform.settings_watch import SettingsWatch
from passtally.settings import Address, Settings, SettingsError
from passtally.stop_signals import StopSignals, block_here
from passtally.supervisor import keep_running

EXIT_USAGE = 2
STANDARD_OUTPUT = 1
#: Time at the start until valid settings must be there. A file of 3 KB is written in a
#: millisecond, but a busy machine may stall its writer for a second.
SETTINGS_TIMEOUT = timedelta(seconds=2)
#: Minimum number of free file descriptors: a host opens as many before its first caller
#: connects.
MIN_DESCRIPTORS = 24
#: Interval between two attempts to read the settings at the start.
SETTINGS_RETRY_INTERVAL = timedelta(milliseconds=50)


def run(
    path: Path,
    signals: StopSignals,
    *,
    front_socket: socket.socket | None,
    problem: Exception | None,
) -> None:
    """Run an entry host until a signal stops it.

    Args:
        path: The settings file.
        signals: The stop signals; records one that arrives before the loop handles
            them.
        front_socket: A socket that already listens for callers, or None.
        problem: The error that kept such a socket from listening, or None.
    """
    # Has to run before the first thread is started.
    limit_arenas()
    try:
        check_free(MIN_DESCRIPTORS)
        settings = _read_until_valid(path, signals)
    except (SettingsError, OSError) as error:
        print(f"passtally: {path}: {error}", file=sys.stderr)
        # A stop signal that arrived while waiting makes this a planned stop.
        sys.exit(0 if signals.waited() else EXIT_USAGE)
    output = LogOutput(stream=open_log())
    eliot.add_destinations(output)
    if problem is not None:
        log_event("daemon", "Could not listen before loading.", why=problem)
    clock = SystemClock()
    watch = SettingsWatch(path=path, clock=clock)
    host = FrontHost(
        settings=settings,
        clock=clock,
        adapter=PlatformAdapter(),
        front_socket=_keep_if_configured(front_socket, settings.listen),
        are_settings_current=watch.is_current,
    )
    with aiomisc.entrypoint(
        host,
        pool_size=1,
        log_config=False,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    ) as loop:
        loop.run_until_complete(_wait_for_stop(host, watch, signals))
    output.close()
    # Skips the interpreter's finalization, which takes 0.1 s, or 0.3 s on a busy
    # machine: the platform may kill a host in that time although it stopped as planned.
    os._exit(0)


def _keep_if_configured(
    front_socket: socket.socket | None, listen: Address
) -> socket.socket | None:
    """Return the early socket if it listens at the configured address.

    It was opened from a settings file that may have been incomplete at that moment.
    Any other socket is closed.
    """
    if front_socket is None or front_socket.getsockname() == (listen.host, listen.port):
        return front_socket
    log_event("daemon", "Closed the early socket, its address differs.", listen=listen)
    front_socket.close()
    return None


def open_log() -> BinaryIO:
    """Return standard output, unbuffered, for log lines.

    Output left in a buffer that can't be flushed at exit would turn the exit status
    into a failure.
    """
    return open(STANDARD_OUTPUT, "wb", buffering=0, closefd=False)


def _read_until_valid(path: Path, signals: StopSignals) -> Settings:
    """Read the settings, and retry for a limited time while they are invalid.

    The file may be rewritten at the moment of a start, and be empty or incomplete.

    Raises:
        SettingsError: The settings are still invalid at the end of that time.
        OSError: The file still can't be read at the end of that time.
    """
    clock = SystemClock()
    until = clock.monotonic() + SETTINGS_TIMEOUT
    while True:
        try:
            return read_settings(path)
        except (SettingsError, OSError):
            if clock.monotonic() >= until or signals.waited():
                raise
        time.sleep(SETTINGS_RETRY_INTERVAL.total_seconds())


async def _wait_for_stop(
    host: FrontHost, watch: SettingsWatch, signals: StopSignals
) -> None:
    """Watch the settings until a signal stops the host, then drain it."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    signals.hand_over(loop, stopping.set)
    # The one thread of the loop's pool.
    await asyncio.to_thread(block_here)
    loop.add_signal_handler(signal.SIGHUP, watch.check_now)
    work = keep_running("settings", partial(watch.run, host), clock=host.clock)
    watching = loop.create_task(work)
    await stopping.wait()
    watching.cancel()
    await host.leave(waited=signals.waited())
    signals.ignore(loop)
