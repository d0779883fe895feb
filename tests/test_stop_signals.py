"""No stop signal is lost or fatal from the start of a process to its exit.

A signal may arrive before the event loop runs, or after the host has stopped.
"""

import asyncio
import os
import signal
from collections.abc import Iterator
from datetime import timedelta

import pytest

from passtally.stop_signals import NUMBERS, StopSignals


@pytest.fixture(autouse=True)
def handlers() -> Iterator[None]:
    """Restore the test process's own signal handlers."""
    numbers = (*NUMBERS, signal.SIGHUP)
    before = {number: signal.getsignal(number) for number in numbers}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.mark.parametrize("number", NUMBERS)
class TestStopSignals:
    def test_a_stop_before_the_loop_is_handed_over(self, number):
        signals = StopSignals()
        signals.catch()
        os.kill(os.getpid(), number)

        async def main() -> None:
            stopping = asyncio.Event()
            signals.hand_over(asyncio.get_running_loop(), stopping.set)
            assert stopping.is_set()

        asyncio.run(main())
        assert signals.waited() > timedelta(0)

    def test_a_stop_of_a_running_loop_has_no_waiting_time(self, number):
        signals = StopSignals()
        signals.catch()

        async def main() -> None:
            stopping = asyncio.Event()
            signals.hand_over(asyncio.get_running_loop(), stopping.set)
            assert not stopping.is_set()
            os.kill(os.getpid(), number)
            await asyncio.wait_for(stopping.wait(), 10)

        asyncio.run(main())
        assert signals.waited() == timedelta(0)

    def test_a_stop_after_the_host_has_stopped_is_ignored(self, number):
        signals = StopSignals()
        signals.catch()

        async def main() -> None:
            loop = asyncio.get_running_loop()
            stops = []
            signals.hand_over(loop, lambda: stops.append(number))
            signals.ignore(loop)
            os.kill(os.getpid(), number)
            await asyncio.sleep(0)
            assert stops == []

        asyncio.run(main())
        os.kill(os.getpid(), number)
        assert signals.waited() == timedelta(0)
