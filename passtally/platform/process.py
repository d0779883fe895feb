"""Runs an entry host by the platform's settings file."""

import asyncio
import os
import signal
import socket
import sys
import time
from datetime import timedelta
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
from passtally.stop_signals import StopSignals
from passtally.supervisor import keep_running

EXIT_USAGE = 2
STANDARD_OUTPUT = 1
#: How long to wait at the start for settings that can be used: a file of 3 KB is
#: written in a millisecond, and a busy machine may hold its writer up for a second.
SETTINGS_PATIENCE = timedelta(seconds=2)
#: What a host opens before its first caller comes.
MIN_DESCRIPTORS = 24
SETTINGS_PAUSE = timedelta(milliseconds=50)


def run(
    path: Path,
    signals: StopSignals,
    *,
    front_socket: socket.socket | None,
    problem: Exception | None,
) -> None:
    """Run an entry host until it is told to stop.

    Args:
        path: The settings file.
        signals: Notes a stop that comes before the loop takes them.
        front_socket: Listens already where callers come in, if any does.
        problem: Why none does.
    """
    # Before the first thread is started.
    limit_arenas()
    try:
        check_free(MIN_DESCRIPTORS)
        settings = _read_when_whole(path, signals)
    except (SettingsError, OSError) as error:
        print(f"passtally: {path}: {error}", file=sys.stderr)
        # One that was told to stop meanwhile has done so.
        sys.exit(0 if signals.waited() else EXIT_USAGE)
    output = LogOutput(stream=open_log())
    eliot.add_destinations(output)
    if problem is not None:
        log_event("daemon", "Could not listen before loading.", why=problem)
    host = FrontHost(
        settings=settings,
        clock=SystemClock(),
        adapter=PlatformAdapter(),
        front_socket=_keep_if_told(front_socket, settings.listen),
    )
    with aiomisc.entrypoint(
        host,
        pool_size=1,
        log_config=False,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    ) as loop:
        loop.run_until_complete(_wait_for_stop(host, path, signals))
    output.close()
    # Nothing is left to be done, and the interpreter takes 0.1 s to take itself apart,
    # on a busy machine 0.3 s: time in which the platform may kill a host that has
    # stopped as planned.
    os._exit(0)


def _keep_if_told(
    front_socket: socket.socket | None, told: Address
) -> socket.socket | None:
    """Return the early socket if it listens where callers are told to come.

    It was opened by settings that may have been half written.
    """
    if front_socket is None or front_socket.getsockname() == (told.host, told.port):
        return front_socket
    log_event("daemon", "Listened elsewhere before loading.", listen=told)
    front_socket.close()
    return None


def open_log() -> BinaryIO:
    """Return standard output for log lines.

    Nothing of it is kept in a buffer: what could not be written when the program ends
    would turn its status into a failure.
    """
    return open(STANDARD_OUTPUT, "wb", buffering=0, closefd=False)


def _read_when_whole(path: Path, signals: StopSignals) -> Settings:
    """Read the settings, and again for a while where they can't be used.

    They may be written anew at the moment of a start, and be empty or half there.

    Raises:
        SettingsError: They can't be used after all.
        OSError: They can't be read after all.
    """
    clock = SystemClock()
    until = clock.monotonic() + SETTINGS_PATIENCE
    while True:
        try:
            return read_settings(path)
        except (SettingsError, OSError):
            if clock.monotonic() >= until or signals.waited():
                raise
        time.sleep(SETTINGS_PAUSE.total_seconds())


async def _wait_for_stop(host: FrontHost, path: Path, signals: StopSignals) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    signals.hand_over(loop, stopping.set)
    watch = SettingsWatch(path=path, host=host, clock=host.clock)
    loop.add_signal_handler(signal.SIGHUP, watch.look_soon)
    work = keep_running("settings", watch.run, clock=host.clock)
    watching = loop.create_task(work)
    await stopping.wait()
    watching.cancel()
    await host.leave(waited=signals.waited())
    signals.ignore(loop)
