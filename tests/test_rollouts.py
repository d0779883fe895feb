"""Roll-outs of good and bad versions, on simulated hosts in virtual time.

Guards against a bad version that serves too many requests or is completed, and against
a good version that is not completed in time. The first deployment with roll-outs sets
the limits: a bad version may get a tenth of all requests and 50 more, and none later
than five seconds after its 50th bad answer.
"""

import random
from datetime import timedelta

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from passtally.budget_loans import BudgetLoans
from passtally.clock import ManualClock
from passtally.objects import Endpoint
from passtally.rollout import (
    GRACE,
    RecordedState,
    Rollout,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
)
from passtally.rollouts import MAX_ORDER_WAIT, ORDER_WAIT, Rollouts
from passtally.service_index import ServiceIndex
from standins.rollout_fleet import (
    RolloutResult,
    RolloutScenario,
    VersionBehaviour,
    simulate_rollout,
)

ORDER = RolloutOrder(id="o", service="s", version="v2", within=timedelta(seconds=12))
START = timedelta(seconds=100)
FAILS = VersionBehaviour(failing=0.5)


def recorded(state: RecordedState | None = None, version: int = 1) -> RolloutRecord:
    return RolloutRecord(order=ORDER, state=state, object_version=version)


def endpoint(software: str) -> Endpoint:
    return Endpoint(
        id=software,
        service="s",
        url="http://127.0.0.1:1",
        failure_domain="pilar",
        software=software,
    )


def play(seed: int = 1, **fields) -> RolloutResult:
    return simulate_rollout(RolloutScenario(seed=seed, **fields))


def check_bad(result: RolloutResult) -> None:
    """Check the limits on requests to a bad version, and that it was not completed."""
    assert not result.is_over_bound
    assert not result.after_limit
    assert RecordedState.COMPLETED not in result.states


class TestStates:
    def make(self, *events: str) -> Rollout:
        rollout = Rollout(record=recorded(), now=START)
        for event in events:
            rollout.send(event, now=START)
        return rollout

    @pytest.mark.parametrize(
        ("events", "old", "new"),
        [
            ([], True, False),
            (["come"], True, False),
            (["come", "accept"], False, True),
            (["come", "reject"], True, False),
            (["come", "accept", "reject"], True, False),
            (["complete"], False, True),
            (["roll_back"], True, False),
            (["withdraw"], True, True),
        ],
    )
    def test_which_version_gets_regular_requests(self, events, old, new):
        rollout = self.make(*events)
        assert rollout.allows(endpoint("v1"), now=START) is old
        assert rollout.allows(endpoint("v2"), now=START) is new

    def test_a_later_version_needs_no_order_some_time_after_completion(self):
        rollout = self.make("complete")
        later = START + GRACE + timedelta(seconds=1)
        assert not rollout.allows(endpoint("v3"), now=START)
        assert rollout.allows(endpoint("v3"), now=later)

    def test_a_host_that_starts_later_adopts_the_recorded_state(self):
        for state, expected in (
            (RecordedState.MOVING, RolloutState.COMPLETING),
            (RecordedState.COMPLETED, RolloutState.COMPLETED),
            (RecordedState.ROLLED_BACK, RolloutState.ROLLED_BACK),
        ):
            assert Rollout(record=recorded(state), now=START).state is expected


class RolloutMachine(RuleBasedStateMachine):
    """Local events and recorded states in any order.

    Guards against a host that leaves a final state, sends requests to a rejected
    version, or excludes both versions.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rollout = Rollout(record=recorded(), now=START)
        self.final: RolloutState | None = None
        self.version = 1

    @rule(event=st.sampled_from(["come", "accept", "reject", "withdraw"]))
    def decide(self, event: str) -> None:
        is_known = event != "come" or self.rollout.state is RolloutState.WAITING
        is_known &= event != "accept" or self.rollout.state in (
            RolloutState.WAITING,
            RolloutState.TRYING,
        )
        is_known &= event != "reject" or self.rollout.state not in (
            RolloutState.ROLLING_BACK,
        )
        if is_known:
            self.rollout.send(event, now=START)

    @rule(state=st.sampled_from([None, *RecordedState]))
    def record(self, state: RecordedState | None) -> None:
        self.version += 1
        self.rollout.apply_record(recorded(state, self.version), now=START)

    @invariant()
    def a_final_state_never_changes(self) -> None:
        if self.final is not None:
            assert self.rollout.state is self.final
        if self.rollout.is_over:
            self.final = self.rollout.state

    @invariant()
    def a_rejected_version_gets_nothing(self) -> None:
        if self.rollout.state in (RolloutState.ROLLING_BACK, RolloutState.ROLLED_BACK):
            assert not self.rollout.allows(endpoint("v2"), now=START)

    @invariant()
    def some_version_is_always_used(self) -> None:
        versions = (endpoint("v1"), endpoint("v2"))
        assert any(self.rollout.allows(item, now=START) for item in versions)


TestRolloutMachine = RolloutMachine.TestCase
TestRolloutMachine.settings = settings(deadline=None, derandomize=True, max_examples=60)


class TestBadVersions:
    @pytest.mark.parametrize(
        "version",
        [
            VersionBehaviour(failing=1.0),
            VersionBehaviour(failing=0.3),
            VersionBehaviour(slower=3.0),
            VersionBehaviour(failing=0.5, from_second=3.0),
            VersionBehaviour(slower=4.0, from_second=3.0),
            VersionBehaviour(failing=0.5, on_route="r1"),
        ],
    )
    def test_it_is_rolled_back_within_the_limits(self, version):
        result = play(version=version)
        check_bad(result)
        assert result.state is RecordedState.ROLLED_BACK
        assert result.ended_at < 8

    def test_many_hosts_together_keep_the_limits(self):
        result = play(hosts=60, endpoints=30, per_second=60, version=FAILS)
        check_bad(result)
        assert result.state is RecordedState.ROLLED_BACK

    @pytest.mark.parametrize(
        "trouble",
        [
            {"host_crashes": 4},
            {"partitioned_hosts": 0.34},
            {"store_down": 3.0},
            {"baseline_failing": 0.15},
        ],
    )
    def test_other_faults_change_nothing(self, trouble):
        result = play(version=FAILS, **trouble)
        check_bad(result)
        assert result.state is RecordedState.ROLLED_BACK

    def test_it_gets_no_more_requests_while_the_store_is_unreachable(self):
        result = play(version=FAILS, store_down=30.0)
        check_bad(result)
        assert result.state is not RecordedState.MOVING
        assert result.sent_new < 40


class TestGoodVersions:
    def test_all_hosts_move_to_it_and_stop_using_the_old_one(self):
        result = play()
        assert result.states == [RecordedState.MOVING, RecordedState.COMPLETED]
        assert result.ended_at < 12
        assert result.open_at_end == 0

    def test_many_hosts_move_in_time(self):
        result = play(hosts=60, endpoints=30, per_second=60)
        assert result.state is RecordedState.COMPLETED
        assert result.ended_at < 12

    def test_a_single_faulty_endpoint_does_not_stop_the_roll_out(self):
        result = play(seed=3, faulty_endpoints=1)
        assert result.state is RecordedState.COMPLETED

    def test_before_the_move_it_is_limited_like_a_bad_one(self):
        result = play(store_down=30.0)
        assert not result.is_over_bound
        assert result.state is None

    def test_without_endpoints_it_is_rolled_back_within_its_time(self):
        result = play(endpoints=0)
        assert result.state is RecordedState.ROLLED_BACK
        assert result.ended_at < 12


class Versions:
    """The roll-outs of a host without links, with a manual clock."""

    def __init__(self, *, is_current: bool = True) -> None:
        self.clock = ManualClock()
        self.catalog = ServiceIndex()
        self.is_current = is_current
        net = FakeLinks()
        self.rollouts = Rollouts(
            host_id="h0",
            life=1,
            share=0.1,
            slack=50,
            min_hosts=8,
            catalog=self.catalog,
            loans=BudgetLoans(peers=net, roster=net, rng=random.Random(1)),
            peers=net,
            roster=net,
            clock=self.clock,
            rng=random.Random(1),
            record=net.record,
            is_current=lambda: self.is_current,
        )

    def put(self, software: str, born: int) -> None:
        item = attrs.evolve(endpoint(software), incarnation=born)
        self.rollouts.record_endpoint(item)
        self.catalog.put_endpoint(item)

    def allows(self, software: str) -> bool:
        return self.rollouts.allows(endpoint(software))

    def wait(self, time: timedelta) -> None:
        self.clock.advance(time)


class FakeLinks:
    """Links, roster and store of a host that is alone."""

    peak_hosts = 1

    def on(self, kind, answerer) -> None:
        pass

    def listen(self, kind, listener) -> None:
        pass

    async def record(self, record, state) -> None:
        pass


class TestVersionsWithoutAnOrder:
    def test_a_new_version_waits_for_an_order(self):
        versions = Versions()
        versions.put("v1", born=1)
        versions.wait(timedelta(seconds=5))
        versions.put("v2", born=2)
        assert versions.allows("v1")
        assert not versions.allows("v2")
        versions.wait(ORDER_WAIT)
        assert versions.allows("v2")

    def test_it_waits_longer_if_orders_may_be_missing_but_not_forever(self):
        versions = Versions(is_current=False)
        versions.put("v1", born=1)
        versions.put("v2", born=2)
        versions.wait(ORDER_WAIT)
        assert not versions.allows("v2")
        versions.wait(MAX_ORDER_WAIT)
        assert versions.allows("v2")

    def test_the_only_version_with_endpoints_never_waits(self):
        """Guards against a service without any usable endpoint.

        If all endpoints of the old version disappear right after a release, only those
        of the new version are left, and requests must not wait for an order.
        """
        versions = Versions(is_current=False)
        versions.put("v1", born=1)
        versions.put("v2", born=2)
        versions.catalog.drop_endpoint("v1")
        assert versions.allows("v2")

    def test_a_rolled_back_version_serves_later_if_there_is_no_other(self):
        versions = Versions()
        versions.put("v1", born=1)
        versions.put("v2", born=2)
        versions.rollouts.apply_record(recorded(RecordedState.ROLLED_BACK))
        versions.wait(ORDER.within + GRACE + timedelta(seconds=1))
        assert not versions.allows("v2")
        versions.catalog.drop_endpoint("v1")
        assert versions.allows("v2")
