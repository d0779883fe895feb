"""Generations over engines that crash, freeze or send wrong tokens, in virtual time."""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta

import attrs
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passtally.dispatcher import Dispatcher
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.generation import Generation, TokenEvent
from passtally.loss_handler import MAX_UNREACHED_TIME
from passtally.objects import Endpoint, Service, ServiceKind
from passtally.outcome import Code, Outcome, RefusedError
from passtally.placement import Placement
from passtally.retry import LossKind, RetryLimits
from passtally.retry_budget import RetryBudgets
from passtally.suspect import MAX_CRASHES
from standins.fake_engine import FakeEngine, expected_text
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import make_catalog
from tests.test_generation import make_generation

NAMES = ("r1", "r2", "r3", "r4")
TOKENS = 40


class ListSink:
    """Records the output and the endpoint of each attempt."""

    def __init__(self) -> None:
        self.text = ""
        self.ends = 0
        self.engines: list[str] = []

    def switch(self, generation, attempt) -> None:
        self.engines.append(attempt.endpoint_id)

    async def write(self, deliveries) -> None:
        await asyncio.sleep(0)
        self.text += "".join(delivery.text for delivery in deliveries)
        self.ends += sum(item.finish_reason is not None for item in deliveries)


@attrs.frozen
class Fault:
    """The fault of one attempt, and the number of its events before the fault."""

    kind: str
    after: int


class FaultyEngine(FakeEngine):
    """An engine whose attempts have the faults in ``plan``, in this order."""

    plan: list[Fault] = []

    async def _produce(self, request, prior) -> AsyncIterator:
        fault = self.plan.pop(0) if self.plan else None
        if fault and fault.kind == "refuse":
            raise self._lost(LossKind.REFUSED, "connect")
        count = 0
        async for events in super()._produce(request, prior):
            if fault and count == fault.after:
                if fault.kind == "reset":
                    raise self._lost(LossKind.RESET, "stream")
                if fault.kind == "freeze":
                    await asyncio.sleep(3600)
                if fault.kind == "skip":
                    count += 1
                    continue
                if fault.kind == "lie":
                    events = [
                        msgspec.structs.replace(events[0], position=0, text_offset=0)
                    ]
            yield events
            if fault and fault.kind == "repeat" and count == fault.after:
                yield events
            count += 1

    async def probe(self):
        """Return None after the probe's timeout, as with a frozen engine."""
        await self._clock.sleep(timedelta(milliseconds=300))


class Bench:
    """A dispatcher over four fake engines."""

    def __init__(self, engine_class=FakeEngine, **limits) -> None:
        self.clock = VirtualClock()
        self.engines = {
            name: engine_class(name=name, clock=self.clock) for name in NAMES
        }
        service = Service(id="s", kind=ServiceKind.MODEL, model="m", version="1")
        endpoints = [
            Endpoint(id=name, service="s", url=name, failure_domain="d")
            for name in NAMES
        ]
        catalog = make_catalog([service], endpoints)
        self.fleet = Fleet(
            catalog=catalog,
            clock=self.clock,
            connect=lambda endpoint: self.engines[endpoint.id],
        )
        self.dispatcher = Dispatcher(
            fleet=self.fleet,
            clock=self.clock,
            placement=Placement(fleet=self.fleet, clock=self.clock, failure_domain="d"),
            limits=RetryLimits(**limits),
            budgets=RetryBudgets(),
        )
        self.watch = asyncio.ensure_future(self.fleet.watch_silence())

    async def run(self, generation: Generation) -> ListSink:
        sink = ListSink()
        try:
            await self.dispatcher.run(generation, sink)
        finally:
            self.watch.cancel()
        return sink


def make_short_generation(**options) -> Generation:
    generation = make_generation(**options)
    generation.request = attrs.evolve(
        generation.request, max_tokens=TOKENS, fingerprint=b"f"
    )
    return generation


FAULTS = st.builds(
    Fault,
    st.sampled_from(["reset", "freeze", "skip", "lie", "repeat", "refuse"]),
    st.integers(0, TOKENS - 1),
)


class TestAnswers:
    # Guards against an answer that was cut short and counts as complete.
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.lists(FAULTS, max_size=6))
    def test_an_answer_is_complete_or_ends_with_an_error(self, faults):
        async def run():
            FaultyEngine.plan = list(faults)
            bench = Bench(FaultyEngine)
            generation = make_short_generation()
            try:
                sink = await bench.run(generation)
            except RefusedError as error:
                return generation, None, error.failure
            return generation, sink, None

        generation, sink, failure = run_virtually(run())
        if failure is None:
            assert sink.text == expected_text(TOKENS)
            assert sink.ends == 1
        else:
            assert len(faults) >= 3
            assert failure.position in (None, generation.delivered)
            if failure.outcome is Outcome.NOT_RUN:
                assert not generation.delivered

    # Guards against an end of the stream that is taken for the end of the answer.
    @pytest.mark.parametrize("events", [0, 1, TOKENS - 1])
    def test_a_stream_that_ends_before_its_last_event_fails_over(self, events):
        class TruncatingEngine(FakeEngine):
            truncations = 1

            async def _produce(self, request, prior):
                count = 0
                async for output in super()._produce(request, prior):
                    if TruncatingEngine.truncations and count == events:
                        TruncatingEngine.truncations = 0
                        return
                    count += 1
                    yield output

        async def run():
            return await Bench(TruncatingEngine).run(make_short_generation())

        sink = run_virtually(run())
        assert sink.text == expected_text(TOKENS)
        assert sink.ends == 1
        assert len(sink.engines) > 1

    def test_output_before_a_resume_mismatch_in_one_read_is_delivered(self):
        class LyingEngine(FakeEngine):
            lies = 1

            async def _produce(self, request, prior):
                async for events in super()._produce(request, prior):
                    if LyingEngine.lies and events[0].position == 5:
                        LyingEngine.lies = 0
                        far = msgspec.structs.replace(events[0], position=30)
                        yield [events[0], far]
                    yield events

        async def run():
            return await Bench(LyingEngine).run(make_short_generation())

        assert run_virtually(run()).text == expected_text(TOKENS)

    def test_an_answer_fails_over_when_its_engine_dies(self):
        async def run():
            bench = Bench()
            work = asyncio.ensure_future(bench.run(make_short_generation()))
            await asyncio.sleep(0.3)
            busy = next(e for e in bench.engines.values() if e.running)
            busy.die()
            return await work

        sink = run_virtually(run())
        assert sink.text == expected_text(TOKENS)
        assert len(set(sink.engines)) == 2

    # Guards against an answer without a deadline that is retried forever.
    def test_an_answer_ends_when_no_endpoint_can_be_reached_anymore(self):
        async def run():
            bench = Bench()
            work = asyncio.ensure_future(bench.run(make_short_generation()))
            await asyncio.sleep(0.3)
            for engine in bench.engines.values():
                engine.die()
            with pytest.raises(RefusedError) as caught:
                async with asyncio.timeout(60):
                    await work
            return caught.value.failure, asyncio.get_running_loop().time()

        failure, ended = run_virtually(run())
        assert failure.code is Code.RESUME_IMPOSSIBLE
        assert failure.position > 0
        assert ended < MAX_UNREACHED_TIME.total_seconds() + 5

    def test_an_answer_fails_over_within_two_seconds_of_a_freeze(self):
        async def run():
            bench = Bench()
            work = asyncio.ensure_future(bench.run(make_short_generation()))
            await asyncio.sleep(0.3)
            busy = next(e for e in bench.engines.values() if e.running)
            busy.freeze()
            sink = await work
            return sink, asyncio.get_running_loop().time()

        sink, ended = run_virtually(run())
        assert sink.text == expected_text(TOKENS)
        assert ended < 0.3 + 2 + TOKENS * 0.013

    def test_a_slow_engine_that_answers_its_probe_keeps_the_answer(self):
        class SlowEngine(FakeEngine):
            async def _produce(self, request, prior):
                async for events in super()._produce(request, prior):
                    if events[0].position == 20:
                        await asyncio.sleep(2)
                    yield events

        async def run():
            return await Bench(SlowEngine).run(make_short_generation())

        sink = run_virtually(run())
        assert sink.text == expected_text(TOKENS)
        assert len(sink.engines) == 1

    def test_a_pause_of_the_host_is_not_attributed_to_its_endpoints(self):
        """A pause of the host must not count as silence of its endpoint.

        The host is paused during the probe, so its answer is not read in time.
        """

        class UnansweredEngine(FakeEngine):
            async def probe(self):
                loop = asyncio.get_running_loop()
                if loop.time() < 4:
                    loop.pause(3)
                    await asyncio.sleep(0.3)
                    return None
                return await super().probe()

            async def _produce(self, request, prior):
                async for events in super()._produce(request, prior):
                    if events[0].position == 20:
                        await asyncio.sleep(4)
                    yield events

        async def run():
            return await Bench(UnansweredEngine).run(make_short_generation())

        sink = run_virtually(run())
        assert sink.text == expected_text(TOKENS)
        assert len(sink.engines) == 1


class TestCallersThatLeave:
    @pytest.mark.parametrize("at", [1, TOKENS])
    def test_a_caller_that_leaves_at_any_output_raises_connection_error(self, at):
        """The error is also raised at the last output, when the generation is final."""

        class LeavingSink(ListSink):
            async def write(self, deliveries) -> None:
                await super().write(deliveries)
                if deliveries[-1].position >= at:
                    raise ConnectionResetError

        async def run():
            bench = Bench()
            with pytest.raises(ConnectionError):
                await bench.dispatcher.run(make_short_generation(), LeavingSink())
            bench.watch.cancel()

        run_virtually(run())


class TestCopies:
    def test_a_copy_that_is_too_short_ends_with_an_error(self):
        async def run():
            bench = Bench()
            generation = make_short_generation(delivered=5, delivered_characters=10)

            async def recover():
                return [1, 2]

            with pytest.raises(RefusedError) as caught:
                await bench.dispatcher.run(
                    generation, ListSink(), stream_endpoint_id="r1", recover=recover
                )
            bench.watch.cancel()
            return caught.value.failure

        failure = run_virtually(run())
        assert failure.code is Code.RESUME_IMPOSSIBLE
        assert failure.position == 5


class TestErrors:
    def refuse(self, bench_options=None, **generation_options):
        async def run():
            bench = Bench(**(bench_options or {}))
            for engine in bench.engines.values():
                engine.die()
            generation = make_short_generation(**generation_options)
            with pytest.raises(RefusedError) as caught:
                await bench.run(generation)
            return caught.value.failure

        return run_virtually(run())

    def test_a_request_that_reached_no_endpoint_is_reported_as_not_run(self):
        failure = self.refuse()
        assert failure.code is Code.NO_ENDPOINT
        assert failure.outcome is Outcome.NOT_RUN
        assert failure.retry_after

    def test_a_request_that_may_have_run_is_reported_as_unknown(self):
        async def run():
            FaultyEngine.plan = [Fault("reset", 0)] * 2
            with pytest.raises(RefusedError) as caught:
                await Bench(FaultyEngine, max_attempts=1).run(make_short_generation())
            return caught.value.failure

        failure = run_virtually(run())
        assert failure.outcome is Outcome.UNKNOWN
        assert failure.status == 502, "503 promises that it has not run"

    def test_a_prompt_that_crashes_engines_is_stopped_and_quarantined(self):
        class CrashingEngine(FakeEngine):
            async def _produce(self, request, prior):
                async for events in super()._produce(request, prior):
                    if events[0].position >= 10:
                        self.die()
                    yield events

        async def run():
            bench = Bench(CrashingEngine)
            with pytest.raises(RefusedError) as first:
                await bench.run(make_short_generation())
            dead = sum(engine.is_dead for engine in bench.engines.values())
            for engine in bench.engines.values():
                engine.restart()
            with pytest.raises(RefusedError) as second:
                await bench.run(make_short_generation())
            return first.value.failure, dead, second.value.failure

        first, dead, second = run_virtually(run())
        assert (first.code, first.outcome) == (
            Code.RESUME_IMPOSSIBLE,
            Outcome.UNKNOWN,
        )
        assert first.position == 13, "one token from each engine after the tenth"
        assert dead == MAX_CRASHES
        assert (second.code, second.outcome) == (
            Code.REQUEST_QUARANTINED,
            Outcome.NOT_RUN,
        )

    def test_an_error_names_step_and_peer(self):
        error = AttemptLostError(LossKind.RESET, step="stream", peer="r1", detail="x")
        assert "stream" in str(error) and "r1" in str(error)


class TestTokenEvents:
    def test_a_token_event_may_carry_no_tokens(self):
        generation = make_generation()
        attempt = generation.start_attempt("a")
        end = TokenEvent(
            position=0, token_ids=[], text_offset=0, text="", finish_reason="stop"
        )
        assert generation.accept(attempt, end).finish_reason == "stop"
