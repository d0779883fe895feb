"""Streams whose endpoint falls silent, and that may not go on elsewhere.

Silence does not tell that an endpoint is lost: a host whose own link is full reaches
none of them. Whoever breaks such a stream off loses an answer that may still come.
"""

import asyncio
from datetime import timedelta

import pytest

from passtally.forecast import MIN_SAMPLES
from passtally.outcome import RefusedError
from standins.virtual import run_virtually
from tests.test_replicas import WHOLE, ReplicaEngine, World

#: How long callers wait.
TIME_LEFT = timedelta(seconds=20)
#: The longest pause that still keeps an answer in time.
MAX_GAP = timedelta(milliseconds=700)
#: One request earns 0.8 repeats, so that a single stream has none and two have one.
NO_REPEATS = 0.0
ONE_REPEAT = 0.2


def fall_silent(engine: ReplicaEngine, *, is_deaf: bool) -> None:
    """Let an engine send nothing, and take no connections either if it is deaf."""
    engine.hangs = True
    engine.is_deaf = is_deaf


def wake(engine: ReplicaEngine) -> None:
    engine.hangs = engine.is_deaf = False


class TestWaitingOn:
    """A stream at a silent endpoint that may be sent nowhere else."""

    @pytest.mark.parametrize("is_deaf", [False, True])
    def test_without_a_repeat_it_waits_for_its_endpoint(self, is_deaf):
        async def test() -> None:
            world = World(most=NO_REPEATS)
            task = world.start(time_left=TIME_LEFT)
            first = await world.running()
            fall_silent(first, is_deaf=is_deaf)
            await asyncio.sleep(3)
            wake(first)
            await task
            assert world.sink.data == WHOLE
            assert world.engines.opened == [(first.name, "read")]

        run_virtually(test())

    @pytest.mark.parametrize("is_deaf", [False, True])
    def test_without_a_further_attempt_it_waits_for_its_endpoint(self, is_deaf):
        async def test() -> None:
            world = World()
            task = world.start(time_left=TIME_LEFT, max_attempts=1)
            first = await world.running()
            fall_silent(first, is_deaf=is_deaf)
            await asyncio.sleep(3)
            wake(first)
            await task
            assert world.sink.data == WHOLE
            assert world.engines.opened == [(first.name, "read")]

        run_virtually(test())

    def test_before_its_first_output_too(self):
        async def test() -> None:
            world = World(most=NO_REPEATS)
            for engine in world.engines.by_id.values():
                fall_silent(engine, is_deaf=True)
            task = world.start(time_left=TIME_LEFT)
            await asyncio.sleep(3)
            for engine in world.engines.by_id.values():
                wake(engine)
            await task
            assert world.sink.data == WHOLE
            assert len(world.engines.opened) == 1

        run_virtually(test())

    def test_it_goes_on_elsewhere_as_soon_as_a_repeat_is_earned(self):
        async def test() -> None:
            world = World(most=NO_REPEATS)
            task = world.start(time_left=TIME_LEFT)
            first = await world.running()
            fall_silent(first, is_deaf=True)
            await asyncio.sleep(2)
            world.budgets.earn("w", service="s")
            await task
            assert world.sink.data == WHOLE
            assert world.engines.opened[-1][1] == "attach"
            assert world.sink.longest < 2.7
            assert first.streams[0].is_closed

        run_virtually(test())

    def test_where_it_could_not_be_whole_elsewhere_it_waits_for_its_endpoint(self):
        """Its prompt would have to be read again, for which no time is left."""

        async def test() -> None:
            world = World()
            for _ in range(MIN_SAMPLES):
                await world.start()
            world.dispatcher._placement._keeps_replicas = lambda service: False
            world.sink.data = b""
            opened = len(world.engines.opened)
            task = world.start(time_left=timedelta(seconds=2.6))
            first = await world.running(40)
            first.hangs = True
            await asyncio.sleep(0.55)
            wake(first)
            await task
            assert world.sink.data == WHOLE
            assert len(world.engines.opened) == opened + 1

        run_virtually(test())

    def test_it_takes_one_repeat_for_one_loss(self):
        async def test() -> None:
            world = World(most=ONE_REPEAT)
            task = world.start(time_left=TIME_LEFT)
            fall_silent(await world.running(), is_deaf=True)
            await task
            assert world.sink.data == WHOLE
            assert not world.budgets.try_resume("w", service="s")
            world.budgets.earn("w", service="s")
            world.budgets.earn("w", service="s")
            assert world.budgets.try_resume("w", service="s")

        run_virtually(test())

    def test_a_silent_endpoint_gets_no_new_work_until_it_is_heard(self):
        async def test() -> None:
            world = World(most=NO_REPEATS)
            task = world.start(time_left=TIME_LEFT)
            first = await world.running()
            live = world.fleet.find(first.name)
            fall_silent(first, is_deaf=True)
            await asyncio.sleep(1)
            assert live.is_ejected
            wake(first)
            await asyncio.sleep(0.1)
            assert not live.is_ejected
            await task

        run_virtually(test())


class TestWaitingForARepeat:
    """A stream that has left its endpoint and lacks a repeat to go on."""

    def test_after_a_silent_endpoint_it_waits_while_its_caller_does(self):
        async def test() -> None:
            world = World(most=ONE_REPEAT)
            task = world.start(time_left=TIME_LEFT)
            fall_silent(await world.running(), is_deaf=True)
            # The only repeat leads to a replica that is there no more.
            world.keeper().replicas.clear()
            await asyncio.sleep(3)
            assert not task.done()
            world.budgets.earn("w", service="s")
            world.budgets.earn("w", service="s")
            await task
            assert world.sink.data == WHOLE

        run_virtually(test())

    def test_no_longer_than_its_caller_waits_between_two_outputs(self):
        async def test() -> None:
            world = World(most=ONE_REPEAT)
            task = world.start(time_left=TIME_LEFT, max_gap=MAX_GAP)
            fall_silent(await world.running(), is_deaf=True)
            began = world.clock.monotonic()
            world.keeper().replicas.clear()
            with pytest.raises(RefusedError, match="budget"):
                await task
            waited = world.clock.monotonic() - began
            assert abs(waited - 8 * MAX_GAP) < timedelta(milliseconds=500)

        run_virtually(test())

    def test_one_that_its_endpoint_broke_off_waits_as_long_as_it_is_in_time(self):
        async def test() -> None:
            world = World(most=NO_REPEATS)
            task = world.start(time_left=TIME_LEFT, max_gap=MAX_GAP)
            (await world.running()).die()
            began = world.clock.monotonic()
            with pytest.raises(RefusedError, match="budget"):
                await task
            waited = world.clock.monotonic() - began
            assert abs(waited - MAX_GAP) < timedelta(milliseconds=200)

        run_virtually(test())

    def test_a_repeat_that_is_earned_meanwhile_is_used(self):
        async def test() -> None:
            world = World(most=NO_REPEATS)
            task = world.start(time_left=TIME_LEFT, max_gap=MAX_GAP)
            (await world.running()).die()
            await asyncio.sleep(0.2)
            world.budgets.earn("w", service="s")
            await task
            assert world.sink.data == WHOLE
            assert world.sink.longest < MAX_GAP.total_seconds()

        run_virtually(test())
