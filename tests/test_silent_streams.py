"""Streams whose endpoint falls silent, and that cannot fail over.

Silence does not prove that an endpoint is lost: a host whose own link is saturated
reaches none of them. Aborting such a stream loses an answer that may still arrive.
"""

import asyncio
from datetime import timedelta

import pytest

from passtally.forecast import MIN_SAMPLES
from passtally.outcome import RefusedError
from standins.virtual import run_virtually
from tests.replica_world import WHOLE, ReplicaEngine, World

#: Time that callers wait for an answer.
TIME_LEFT = timedelta(seconds=20)
#: Maximum pause of an answer that is still in time.
MAX_GAP = timedelta(milliseconds=700)
#: Initial retry budgets. One request earns 0.8 retries, so that a single stream has no
#: retry with the first, and one with the second.
NO_RETRIES = 0.0
ONE_RETRY = 0.2


def fall_silent(engine: ReplicaEngine, *, is_deaf: bool) -> None:
    """Stop the output of an engine, and its accepting of connections if it is deaf."""
    engine.hangs = True
    engine.is_deaf = is_deaf


def wake(engine: ReplicaEngine) -> None:
    engine.hangs = engine.is_deaf = False


class TestHolding:
    """A stream at a silent endpoint that cannot fail over is held there."""

    @pytest.mark.parametrize("is_deaf", [False, True])
    def test_without_a_retry_it_waits_for_its_endpoint(self, is_deaf):
        async def test() -> None:
            world = World(most=NO_RETRIES)
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

    def test_it_waits_before_its_first_output_too(self):
        async def test() -> None:
            world = World(most=NO_RETRIES)
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

    def test_it_fails_over_as_soon_as_a_retry_is_earned(self):
        async def test() -> None:
            world = World(most=NO_RETRIES)
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

    def test_without_time_to_complete_elsewhere_it_waits_for_its_endpoint(self):
        """Another endpoint would have to prefill the prompt, with no time left."""

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

    def test_one_loss_takes_one_retry(self):
        async def test() -> None:
            world = World(most=ONE_RETRY)
            task = world.start(time_left=TIME_LEFT)
            fall_silent(await world.running(), is_deaf=True)
            await task
            assert world.sink.data == WHOLE
            assert not world.budgets.try_resume("w", service="s")
            world.budgets.earn("w", service="s")
            world.budgets.earn("w", service="s")
            assert world.budgets.try_resume("w", service="s")

        run_virtually(test())

    def test_a_silent_endpoint_gets_no_new_work_until_it_has_output(self):
        async def test() -> None:
            world = World(most=NO_RETRIES)
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


class TestWaitingForARetry:
    """A stream that has lost its endpoint and lacks a retry to resume elsewhere."""

    def test_after_a_silent_endpoint_it_waits_as_long_as_its_caller(self):
        async def test() -> None:
            world = World(most=ONE_RETRY)
            task = world.start(time_left=TIME_LEFT)
            fall_silent(await world.running(), is_deaf=True)
            # The only retry goes to an endpoint that no longer has the replica.
            world.keeper().replicas.clear()
            await asyncio.sleep(3)
            assert not task.done()
            world.budgets.earn("w", service="s")
            world.budgets.earn("w", service="s")
            await task
            assert world.sink.data == WHOLE

        run_virtually(test())

    def test_after_a_silent_endpoint_it_waits_for_a_multiple_of_the_max_gap(self):
        async def test() -> None:
            world = World(most=ONE_RETRY)
            task = world.start(time_left=TIME_LEFT, max_gap=MAX_GAP)
            fall_silent(await world.running(), is_deaf=True)
            began = world.clock.monotonic()
            world.keeper().replicas.clear()
            with pytest.raises(RefusedError, match="budget"):
                await task
            waited = world.clock.monotonic() - began
            assert abs(waited - 8 * MAX_GAP) < timedelta(milliseconds=500)

        run_virtually(test())

    def test_a_stream_aborted_by_its_endpoint_waits_for_the_max_gap(self):
        async def test() -> None:
            world = World(most=NO_RETRIES)
            task = world.start(time_left=TIME_LEFT, max_gap=MAX_GAP)
            (await world.running()).die()
            began = world.clock.monotonic()
            with pytest.raises(RefusedError, match="budget"):
                await task
            waited = world.clock.monotonic() - began
            assert abs(waited - MAX_GAP) < timedelta(milliseconds=200)

        run_virtually(test())

    def test_a_retry_earned_meanwhile_is_used(self):
        async def test() -> None:
            world = World(most=NO_RETRIES)
            task = world.start(time_left=TIME_LEFT, max_gap=MAX_GAP)
            (await world.running()).die()
            await asyncio.sleep(0.2)
            world.budgets.earn("w", service="s")
            await task
            assert world.sink.data == WHOLE
            assert world.sink.longest < MAX_GAP.total_seconds()

        run_virtually(test())
