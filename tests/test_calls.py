"""Failover of calls to other endpoints, after failed connects and slow answers.

When all hosts start together or receive a large change, connects take longer than their
timeout of 150 ms. In a simulated day of 195 hosts, 348 calls were refused after two
failed connects, although all five endpoints were healthy.
"""

import asyncio
from datetime import timedelta

import pytest
from multidict import CIMultiDict

from passtally.call_progress import MAX_CONNECT_FAILURES
from passtally.clock import Clock, ManualClock
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.objects import Endpoint, Service, ServiceKind
from passtally.outcome import Outcome, RefusedError
from passtally.plain import PlainCaller
from passtally.plain_call import PlainAnswer, PlainCall, Sender
from passtally.retry import LossKind
from passtally.retry_budget import Budgets, RetryBudgets, ServiceBudgets
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import make_catalog

SERVICE = Service(id="s", kind=ServiceKind.PLAIN)


class LossySender:
    """A sender that fails the first calls with the given losses, then answers."""

    def __init__(self, *losses: LossKind) -> None:
        self.losses = list(losses)
        self.asked: list[str] = []

    async def send(self, call, live, *, before_send=None) -> PlainAnswer:
        self.asked.append(live.endpoint.id)
        if self.losses:
            raise AttemptLostError(
                self.losses.pop(0), step="call", peer=live.endpoint.id, detail="lost"
            )
        return PlainAnswer(status=200, headers=CIMultiDict(), body=b"ok")


def make_caller(
    sender: Sender, *, clock: Clock, budgets: Budgets, endpoints: int = 8
) -> PlainCaller:
    fleet = Fleet(
        catalog=make_catalog(
            [SERVICE],
            [
                Endpoint(
                    id=f"e{number}",
                    service="s",
                    url=f"http://10.0.0.{number}:1",
                    failure_domain=f"d{number}",
                    host="",
                )
                for number in range(endpoints)
            ],
        ),
        clock=clock,
        connect=lambda endpoint: None,
    )
    return PlainCaller(
        fleet=fleet, clock=clock, failure_domain="d1", budgets=budgets, sender=sender
    )


def make_call(
    *,
    repeatable: bool = False,
    max_attempts: int = 1,
    patience: timedelta | None = None,
) -> PlainCall:
    return PlainCall(
        id="c",
        workspace="w",
        service=SERVICE,
        method="POST",
        path="/",
        headers=CIMultiDict(),
        body=b"",
        repeatable=repeatable,
        key="",
        max_attempts=max_attempts,
        deadline=timedelta(seconds=4),
        patience=patience,
    )


def run_call(
    sender: LossySender, *, repeatable: bool = False, max_attempts: int = 1
) -> PlainAnswer:
    caller = make_caller(sender, clock=ManualClock(), budgets=RetryBudgets())
    call = make_call(repeatable=repeatable, max_attempts=max_attempts)
    return asyncio.run(caller.call(call))


class TestCallsWithoutConnection:
    def test_a_call_with_one_attempt_tries_other_endpoints(self):
        sender = LossySender(*[LossKind.UNREACHABLE] * (MAX_CONNECT_FAILURES - 1))
        assert run_call(sender).status == 200
        assert len(set(sender.asked)) == MAX_CONNECT_FAILURES

    def test_after_the_maximum_the_call_is_refused_as_not_run(self):
        sender = LossySender(*[LossKind.UNREACHABLE] * 8)
        with pytest.raises(RefusedError) as caught:
            run_call(sender, repeatable=True, max_attempts=3)
        assert len(sender.asked) == MAX_CONNECT_FAILURES
        assert caught.value.failure.status == 503

    def test_a_sent_call_counts_as_an_attempt(self):
        sender = LossySender(LossKind.RESET, LossKind.RESET)
        with pytest.raises(RefusedError):
            run_call(sender, repeatable=True, max_attempts=2)
        assert len(sender.asked) == 2
        sender = LossySender(LossKind.RESET)
        with pytest.raises(RefusedError):
            run_call(sender)
        assert len(sender.asked) == 1


class TestCallsOutOfTime:
    # Guards against a call that waited while its host was paused, and is sent although
    # its caller no longer waits: it ran, and ended as lost.
    @pytest.mark.parametrize("repeatable", [True, False])
    def test_a_call_whose_time_is_up_is_not_sent(self, repeatable):
        sender, clock = LossySender(), ManualClock()
        caller = make_caller(sender, clock=clock, budgets=RetryBudgets())
        call = make_call(repeatable=repeatable, max_attempts=3)
        clock.advance(call.deadline)
        with pytest.raises(RefusedError) as caught:
            asyncio.run(caller.call(call))
        failure = caught.value.failure
        assert (failure.status, failure.outcome) == (503, Outcome.NOT_RUN)
        assert sender.asked == []

    # Guards against the same for a call that waits for a connection meanwhile.
    @pytest.mark.parametrize("connects", [True, False])
    def test_a_call_whose_time_ends_before_it_is_connected_has_not_run(self, connects):
        class ConnectingSender(LossySender):
            async def send(self, call, live, *, before_send=None) -> PlainAnswer:
                await asyncio.sleep(call.deadline.total_seconds())
                if not connects:
                    await asyncio.sleep(60)
                before_send()
                return await super().send(call, live)

        async def run() -> None:
            caller = make_caller(sender, clock=VirtualClock(), budgets=RetryBudgets())
            await caller.call(make_call())

        sender = ConnectingSender()
        with pytest.raises(RefusedError) as caught:
            run_virtually(run())
        failure = caught.value.failure
        assert (failure.status, failure.outcome) == (503, Outcome.NOT_RUN)
        assert sender.asked == []


class SlowSender:
    """A sender that answers the first call slowly and the others at once."""

    TAKES = timedelta(seconds=3)

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.cancelled: list[str] = []

    async def send(self, call, live, *, before_send=None) -> PlainAnswer:
        self.asked.append(live.endpoint.id)
        try:
            if len(self.asked) == 1:
                await asyncio.sleep(self.TAKES.total_seconds())
        except asyncio.CancelledError:
            self.cancelled.append(live.endpoint.id)
            raise
        return PlainAnswer(status=200, headers=CIMultiDict(), body=b"ok")


class TestPatience:
    """A repeatable call to a slow endpoint fails over only if it can run elsewhere.

    Without a retry or another endpoint, an abort would discard the work done so far,
    and the caller would get an error instead of a late answer.
    """

    PATIENCE = timedelta(milliseconds=600)

    def run(self, *, most: float, endpoints: int = 8, earn_at: float | None = None):
        """Run a slow call; return its sender and the time of the answer in seconds."""

        async def test() -> tuple[SlowSender, float]:
            clock, sender = VirtualClock(), SlowSender()
            budgets = ServiceBudgets(
                share=0.5,
                extra=lambda: most,
                window=timedelta(seconds=10),
                clock=clock,
            )
            caller = make_caller(
                sender, clock=clock, budgets=budgets, endpoints=endpoints
            )
            call = make_call(repeatable=True, max_attempts=3, patience=self.PATIENCE)
            loop = asyncio.get_running_loop()
            if earn_at is not None:
                for _ in range(2):
                    loop.call_later(earn_at, lambda: budgets.earn("w", service="s"))
            answer = await caller.call(call)
            assert answer.status == 200
            return sender, loop.time()

        return run_virtually(test())

    def test_it_fails_over(self):
        sender, ended = self.run(most=20)
        assert len(set(sender.asked)) == 2
        assert sender.cancelled == sender.asked[:1]
        assert ended == pytest.approx(0.6, abs=0.01)

    def test_without_a_retry_it_keeps_waiting(self):
        sender, ended = self.run(most=0)
        assert len(sender.asked) == 1
        assert ended == pytest.approx(3, abs=0.01)

    def test_without_another_endpoint_it_keeps_waiting(self):
        sender, ended = self.run(most=20, endpoints=1)
        assert len(sender.asked) == 1
        assert ended == pytest.approx(3, abs=0.01)

    def test_it_fails_over_once_a_retry_is_earned(self):
        sender, ended = self.run(most=0, earn_at=1)
        assert len(set(sender.asked)) == 2
        assert ended == pytest.approx(1.2, abs=0.21)
