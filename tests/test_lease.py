"""A lease has one holder at a time and increasing fencing numbers."""

import asyncio
from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from passtally.clock import ManualClock
from passtally.lease import LEASE_DURATION, Lease
from tests.fakes import FakePlatform

HOSTS = ("a", "b", "c")


class LeaseMachine(RuleBasedStateMachine):
    """Hosts acquire, lose and take over a lease while the platform loses answers."""

    lease_class = Lease

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.platform = FakePlatform()
        self.clock = ManualClock()
        self.leases = {host: self.make_lease(host) for host in HOSTS}
        self.fences: list[tuple[int, str]] = []

    def make_lease(self, host: str) -> Lease:
        return self.lease_class(
            key="leases/x", holder=host, platform=self.platform, clock=self.clock
        )

    def teardown(self) -> None:
        self.loop.close()

    @rule(
        host=st.sampled_from(HOSTS),
        faults=st.lists(st.sampled_from(["ok", "ok", "lost", "down"]), max_size=3),
    )
    def hold(self, host, faults):
        self.platform.faults.extend(faults)
        lease = self.leases[host]
        if self.loop.run_until_complete(lease.try_acquire()):
            self.fences.append((lease.fence, host))
        self.platform.faults.clear()

    @rule(host=st.sampled_from(HOSTS))
    def release(self, host):
        self.loop.run_until_complete(self.leases[host].release())

    @rule(seconds=st.sampled_from([0.5, 1, 2, 6]))
    def pass_time(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        self.leases[host] = self.make_lease(host)

    @invariant()
    def at_most_one_holds(self):
        assert sum(lease.is_held for lease in self.leases.values()) <= 1

    @invariant()
    def each_fence_has_one_holder_and_fences_increase(self):
        numbers = [fence for fence, _ in self.fences]
        assert numbers == sorted(numbers)
        assert len(dict(self.fences)) == len(set(self.fences))


class EagerLease(Lease):
    """Faulty: takes over without waiting for the lease to expire."""

    async def _may_write(self):
        await super()._may_write()
        return True


class LongLease(Lease):
    """Faulty: acts as the holder for longer than other hosts wait."""

    async def _write(self, record):
        await super()._write(record)
        if self._held_until is not None:
            self._held_until += 2 * LEASE_DURATION


class TestLease:
    def run_machine(self, lease: type[Lease]) -> None:
        class Machine(LeaseMachine):
            lease_class = lease

        run_state_machine_as_test(
            Machine,
            settings=settings(
                max_examples=600, deadline=None, derandomize=True, print_blob=False
            ),
        )

    def test_at_most_one_host_holds_it(self):
        self.run_machine(Lease)

    @pytest.mark.parametrize("broken", [EagerLease, LongLease])
    def test_the_machine_detects_a_faulty_lease(self, broken):
        with pytest.raises(AssertionError):
            self.run_machine(broken)
