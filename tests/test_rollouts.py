"""Roll-outs of new versions: what they get, how they are judged, how they end.

Hosts, callers, versions and troubles are played in virtual time; a bad version may get
a tenth of all requests and fifty more, and nothing later than five seconds after its
fiftieth bad answer. The figures are those of the deployment that asked for it first.
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
from passtally.rollouts import HELD_FOR, HELD_LONGEST, Rollouts
from passtally.service_index import ServiceIndex
from standins.rollout_fleet import (
    RolloutPlay,
    RolloutResult,
    VersionBehaviour,
    play_rollout,
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
    return play_rollout(RolloutPlay(seed=seed, **fields))


def check_bad(result: RolloutResult) -> None:
    """Check what must hold of a version that is bad."""
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
    def test_which_version_gets_what_is_not_counted(self, events, old, new):
        rollout = self.make(*events)
        assert rollout.allows(endpoint("v1"), now=START) is old
        assert rollout.allows(endpoint("v2"), now=START) is new

    def test_a_later_version_is_used_without_an_order_once_that_is_long_over(self):
        rollout = self.make("complete")
        later = START + GRACE + timedelta(seconds=1)
        assert not rollout.allows(endpoint("v3"), now=START)
        assert rollout.allows(endpoint("v3"), now=later)

    def test_a_host_that_starts_later_takes_over_what_is_recorded(self):
        for state, expected in (
            (RecordedState.MOVING, RolloutState.COMPLETING),
            (RecordedState.COMPLETED, RolloutState.COMPLETED),
            (RecordedState.ROLLED_BACK, RolloutState.ROLLED_BACK),
        ):
            assert Rollout(record=recorded(state), now=START).state is expected


class RolloutMachine(RuleBasedStateMachine):
    """Whatever is found and recorded, in any order."""

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
        self.rollout.take(recorded(state, self.version), now=START)

    @invariant()
    def a_final_state_never_changes(self) -> None:
        if self.final is not None:
            assert self.rollout.state is self.final
        if self.rollout.is_over:
            self.final = self.rollout.state

    @invariant()
    def what_was_found_bad_gets_nothing(self) -> None:
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
    def test_it_is_rolled_back_before_it_got_much(self, version):
        result = play(version=version)
        check_bad(result)
        assert result.state is RecordedState.ROLLED_BACK
        assert result.ended_at < 8

    def test_many_hosts_together_keep_to_the_bound(self):
        result = play(hosts=60, endpoints=30, per_second=60, version=FAILS)
        check_bad(result)
        assert result.state is RecordedState.ROLLED_BACK

    @pytest.mark.parametrize(
        "trouble",
        [
            {"kills": 4},
            {"cut_hosts": 0.34},
            {"store_down": 3.0},
            {"usual_failing": 0.15},
        ],
    )
    def test_trouble_beside_it_changes_nothing(self, trouble):
        result = play(version=FAILS, **trouble)
        check_bad(result)
        assert result.state is RecordedState.ROLLED_BACK

    def test_it_gets_nothing_more_where_the_store_can_not_be_told(self):
        result = play(version=FAILS, store_down=30.0)
        check_bad(result)
        assert result.state is not RecordedState.MOVING
        assert result.sent_new < 40


class TestGoodVersions:
    def test_all_hosts_move_to_it_and_need_the_old_one_no_more(self):
        result = play()
        assert result.states == [RecordedState.MOVING, RecordedState.COMPLETED]
        assert result.ended_at < 12
        assert result.open_at_end == 0

    def test_also_among_many_hosts(self):
        result = play(hosts=60, endpoints=30, per_second=60)
        assert result.state is RecordedState.COMPLETED
        assert result.ended_at < 12

    def test_one_endpoint_that_fails_by_itself_does_not_end_it(self):
        result = play(seed=3, grey=1)
        assert result.state is RecordedState.COMPLETED

    def test_before_the_move_it_gets_no_more_than_a_bad_one_may(self):
        result = play(store_down=30.0)
        assert not result.is_over_bound
        assert result.state is None

    def test_without_endpoints_it_is_rolled_back_within_its_time(self):
        result = play(endpoints=0)
        assert result.state is RecordedState.ROLLED_BACK
        assert result.ended_at < 12


class Versions:
    """Roll-outs of one host that hears of nobody, and the endpoints that it knows."""

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
            least_hosts=8,
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
        self.rollouts.meet(item)
        self.catalog.put_endpoint(item)

    def allows(self, software: str) -> bool:
        return self.rollouts.allows(endpoint(software))

    def wait(self, time: timedelta) -> None:
        self.clock.advance(time)


class FakeLinks:
    """No other host."""

    peak = 1

    def on(self, kind, answerer) -> None:
        pass

    def listen(self, kind, listener) -> None:
        pass

    async def record(self, record, state) -> None:
        pass


class TestVersionsWithoutAnOrder:
    def test_a_version_that_was_not_seen_before_waits_a_moment(self):
        versions = Versions()
        versions.put("v1", born=1)
        versions.wait(timedelta(seconds=5))
        versions.put("v2", born=2)
        assert versions.allows("v1")
        assert not versions.allows("v2")
        versions.wait(HELD_FOR)
        assert versions.allows("v2")

    def test_it_waits_longer_where_an_order_may_be_missing_and_not_for_ever(self):
        versions = Versions(is_current=False)
        versions.put("v1", born=1)
        versions.put("v2", born=2)
        versions.wait(HELD_FOR)
        assert not versions.allows("v2")
        versions.wait(HELD_LONGEST)
        assert versions.allows("v2")

    def test_the_only_version_that_is_there_never_waits(self):
        """Else all of a service would be held, in an outage right after a release."""
        versions = Versions(is_current=False)
        versions.put("v1", born=1)
        versions.put("v2", born=2)
        versions.catalog.drop_endpoint("v1")
        assert versions.allows("v2")

    def test_long_after_a_roll_back_its_version_serves_where_there_is_no_other(self):
        versions = Versions()
        versions.put("v1", born=1)
        versions.put("v2", born=2)
        versions.rollouts.take(recorded(RecordedState.ROLLED_BACK))
        versions.wait(ORDER.within + GRACE + timedelta(seconds=1))
        assert not versions.allows("v2")
        versions.catalog.drop_endpoint("v1")
        assert versions.allows("v2")
