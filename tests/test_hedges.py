"""Second copies of slow calls, in virtual time.

A server that is slow for some hundred milliseconds is known to be slow only after its
first answers, so that the first calls of each spell are late.
"""

import asyncio
from collections.abc import Mapping
from datetime import timedelta

import attrs
import pytest
from multidict import CIMultiDict

from passtally.call_times import HEDGE_FACTOR, MIN_SAMPLES
from passtally.engine import AttemptLostError, InstanceLoad
from passtally.hedge import HedgePolicy
from passtally.outcome import Outcome, RefusedError
from passtally.plain import PlainCaller
from passtally.plain_call import PlainAnswer
from passtally.retry import LossKind
from passtally.retry_budget import ServiceBudgets
from passtally.settings import Switch
from standins.virtual import VirtualClock, run_virtually
from tests.test_calls import SERVICE, make_call, make_caller

USUAL = 0.1
SLOW = 10 * USUAL
SERVERS = 4
#: Time after which a second copy is sent.
DELAY = HEDGE_FACTOR * USUAL


class TimedSender:
    """Answers after the times of the servers, in the order of the sends.

    Args:
        times: The times of the first sends, in seconds; further ones are usual.
        losses: How some sends end, by their number.
        statuses: The status of some answers, by the number of their send.
    """

    def __init__(
        self,
        *times: float,
        losses: Mapping[int, LossKind] | None = None,
        statuses: Mapping[int, int] | None = None,
    ) -> None:
        self.asked: list[str] = []
        self.cancelled: list[int] = []
        self._times = times
        self._losses = losses or {}
        self._statuses = statuses or {}

    async def send(self, call, live, *, before_send=None) -> PlainAnswer:
        number = len(self.asked)
        self.asked.append(live.endpoint.id)
        took = self._times[number] if number < len(self._times) else USUAL
        try:
            await asyncio.sleep(took)
        except asyncio.CancelledError:
            self.cancelled.append(number)
            raise
        if number in self._losses:
            raise AttemptLostError(
                self._losses[number], step="call", peer=live.endpoint.id, detail="lost"
            )
        status = self._statuses.get(number, 200)
        return PlainAnswer(status=status, headers=CIMultiDict(), body=b"ok")


@attrs.frozen(kw_only=True)
class End:
    """How a call ended, and when, in seconds after it was sent."""

    answer: PlainAnswer | None = None
    error: RefusedError | None = None
    took: float


class Scene:
    """Four servers whose usual time is known, and a caller of them."""

    def __init__(
        self, sender: TimedSender, *, mode: Switch = Switch.ON, retries: float = 20
    ) -> None:
        self.sender = sender
        self.clock = clock = VirtualClock()
        budgets = ServiceBudgets(
            share=0.0, extra=lambda: retries, window=timedelta(seconds=10), clock=clock
        )
        caller = make_caller(sender, clock=clock, budgets=budgets, endpoints=SERVERS)
        self.fleet = caller._fleet
        self.caller = PlainCaller(
            fleet=self.fleet,
            clock=clock,
            failure_domain="d1",
            budgets=budgets,
            sender=sender,
            hedging=HedgePolicy(fleet=self.fleet, clock=clock, mode=lambda: mode),
        )

    async def warm_up(self) -> None:
        """Let the host learn the usual time."""
        for number in range(SERVERS):
            for _ in range(MIN_SAMPLES):
                times = self.fleet.call_times
                call = times.begin(
                    f"e{number}", service=SERVICE.id, now=self.clock.monotonic()
                )
                await asyncio.sleep(USUAL)
                times.end(call, is_timed=True, now=self.clock.monotonic())

    def report_load(self, server: str, *, waiting: int = 0) -> None:
        load = InstanceLoad(running=1, waiting=waiting, slots=2, slowness=1.0)
        now = self.clock.monotonic()
        self.fleet.call_times.record_report(server, load, now=now)

    async def call(self, *, repeatable: bool = True, max_attempts: int = 2) -> End:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        call = make_call(repeatable=repeatable, max_attempts=max_attempts)
        call = attrs.evolve(call, deadline=self.clock.monotonic() + call.deadline)
        try:
            answer = await self.caller.call(call)
        except RefusedError as error:
            return End(error=error, took=loop.time() - began_at)
        return End(answer=answer, took=loop.time() - began_at)


def play(sender: TimedSender, *, repeatable: bool = True, **settings: object) -> End:
    async def test() -> End:
        scene = Scene(sender, **settings)
        await scene.warm_up()
        return await scene.call(repeatable=repeatable)

    return run_virtually(test())


class TestSlowCalls:
    def test_the_answer_of_a_second_copy_counts_and_the_first_is_closed(self):
        sender = TimedSender(SLOW)
        end = play(sender)
        assert end.answer.status == 200
        assert end.took == pytest.approx(DELAY + USUAL, abs=0.02)
        assert len(set(sender.asked)) == 2
        assert sender.cancelled == [0]

    def test_the_second_copy_is_closed_if_the_first_answers_before_it(self):
        sender = TimedSender(DELAY + USUAL / 2)
        end = play(sender)
        assert end.took == pytest.approx(DELAY + USUAL / 2, abs=0.02)
        assert sender.cancelled == [1]

    def test_a_usual_call_gets_no_second_copy(self):
        sender = TimedSender()
        play(sender)
        assert len(sender.asked) == 1

    # Guards against a slow server that is never known to be slow, since its answers
    # are overtaken.
    def test_the_time_of_an_overtaken_call_counts(self):
        async def test() -> None:
            sender = TimedSender(SLOW, USUAL, SLOW, USUAL, SLOW, USUAL, SLOW, USUAL)
            scene = Scene(sender)
            await scene.warm_up()
            before = scene.fleet.call_times._times("e1").recent.samples
            while sender.asked.count("e1") < 1:
                await scene.call()
            assert scene.fleet.call_times._times("e1").recent.samples > before

        run_virtually(test())


class TestCallsWithoutSecondCopy:
    def check(self, sender: TimedSender, **settings: object) -> None:
        end = play(sender, **settings)
        assert end.took == pytest.approx(SLOW, abs=0.02)
        assert len(sender.asked) == 1

    # Guards against a call that runs twice although it may run only once.
    def test_a_call_that_may_run_once(self):
        self.check(TimedSender(SLOW), repeatable=False)

    def test_a_call_without_a_retry_in_the_budget(self):
        self.check(TimedSender(SLOW), retries=0)

    def test_a_host_where_hedging_is_off(self):
        self.check(TimedSender(SLOW), mode=Switch.OFF)

    # Guards against a deployment that is served differently although no server says
    # that its speed varies.
    def test_a_service_whose_servers_report_no_load(self):
        self.check(TimedSender(SLOW), mode=Switch.AUTO)

    # Guards against copies that add to a load which makes all calls slow.
    def test_a_call_while_no_other_server_is_idle(self):
        async def test() -> None:
            sender = TimedSender(SLOW)
            scene = Scene(sender)
            await scene.warm_up()
            for number in range(SERVERS):
                live = scene.fleet.find(f"e{number}")
                for _ in range(live.endpoint.max_streams):
                    live.enter()
            end = await scene.call()
            assert len(sender.asked) <= 1
            assert end.error is not None or end.took == pytest.approx(SLOW, abs=0.02)

        run_virtually(test())

    # Guards against copies at servers that other hosts keep busy.
    def test_a_call_while_the_others_report_that_requests_wait(self):
        async def test() -> None:
            sender = TimedSender(SLOW)
            scene = Scene(sender)
            await scene.warm_up()
            for number in range(SERVERS):
                scene.report_load(f"e{number}", waiting=1)
            end = await scene.call()
            assert end.took == pytest.approx(SLOW, abs=0.02)

        run_virtually(test())

    def test_a_host_that_knows_no_usual_time(self):
        async def test() -> None:
            sender = TimedSender(SLOW)
            end = await Scene(sender).call()
            assert end.took == pytest.approx(SLOW, abs=0.02)

        run_virtually(test())


class TestReportedLoad:
    def test_calls_of_servers_that_report_their_load_are_hedged(self):
        async def test() -> None:
            sender = TimedSender(SLOW)
            scene = Scene(sender, mode=Switch.AUTO)
            await scene.warm_up()
            scene.report_load("e2")
            await scene.call()
            assert len(sender.asked) == 2

        run_virtually(test())


class TestFailures:
    def test_the_second_copy_answers_if_the_first_is_lost_meanwhile(self):
        sender = TimedSender(DELAY + USUAL / 2, 2 * USUAL, losses={0: LossKind.RESET})
        end = play(sender)
        assert end.answer.status == 200
        assert end.took == pytest.approx(DELAY + 2 * USUAL, abs=0.02)

    def test_the_first_one_answers_if_the_second_copy_is_lost(self):
        sender = TimedSender(SLOW, losses={1: LossKind.RESET})
        end = play(sender)
        assert end.answer.status == 200
        assert end.took == pytest.approx(SLOW, abs=0.02)

    # Guards against a good answer that is given up for a failed one.
    def test_a_failed_answer_of_the_second_copy_does_not_end_the_first(self):
        sender = TimedSender(SLOW, statuses={1: 500})
        assert play(sender).answer.status == 200

    # Guards against a refusal that says "has not run" although a copy may have.
    @pytest.mark.parametrize("maybe_ran", [0, 1])
    def test_if_both_are_lost_the_call_may_have_run(self, maybe_ran):
        losses = {0: LossKind.REFUSED, 1: LossKind.REFUSED}
        losses[maybe_ran] = LossKind.RESET
        sender = TimedSender(DELAY + USUAL / 2, USUAL, losses=losses)
        end = play(sender)
        assert end.error.failure.outcome is Outcome.UNKNOWN
        assert len(sender.asked) == 2

    def test_both_are_closed_if_the_caller_leaves(self):
        async def test() -> None:
            sender = TimedSender(SLOW, SLOW)
            scene = Scene(sender)
            await scene.warm_up()
            task = asyncio.create_task(scene.call())
            await asyncio.sleep(DELAY + USUAL / 2)
            task.cancel()
            await asyncio.sleep(USUAL)
            assert sorted(sender.cancelled) == [0, 1]

        run_virtually(test())
