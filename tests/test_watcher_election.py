"""Election of the hosts of a failure domain that watch the platform."""

from datetime import timedelta

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from passtally.watcher_election import (
    JOIN_DELAY,
    LATE_START_STEP,
    START_STEP,
    STOP_DELAY,
    URGENT_HOSTS,
    URGENT_START_STEP,
    WATCHERS,
    WatcherElection,
    should_watch,
    start_delay,
)

NAMES = st.sets(st.integers(0, 30).map(lambda n: f"h{n:02}"), min_size=1, max_size=20)
ROUND = timedelta(milliseconds=100)
#: Time after which the other hosts detect the loss of a watcher.
DETECTION_DELAY = timedelta(milliseconds=1300)


class TestShouldWatch:
    DOMAIN = tuple(f"h{n}" for n in range(9))

    @pytest.mark.parametrize("is_watching", [False, True])
    def test_in_a_small_domain_all_watch(self, is_watching):
        domain = {"a", "b", "z"}
        assert should_watch("z", domain, {"a", "b"}, is_watching=is_watching)

    def test_a_host_starts_only_if_there_are_too_few_watchers(self):
        for enough in ({"h1", "h2"}, {"h1", "h7"}, {"h7", "h8"}):
            assert not should_watch("h5", self.DOMAIN, enough, is_watching=False)
        for too_few in (set(), {"h1"}, {"h7"}):
            assert should_watch("h5", self.DOMAIN, too_few, is_watching=False)

    def test_a_watcher_stops_only_if_enough_hosts_before_it_watch(self):
        assert not should_watch("h5", self.DOMAIN, {"h1", "h2"}, is_watching=True)
        assert should_watch("h5", self.DOMAIN, {"h1", "h7", "h8"}, is_watching=True)

    @given(NAMES, st.integers(1, 4))
    def test_of_too_many_watchers_the_first_ones_stay(self, names, watchers):
        watching: set[str] = set(names)
        for _ in range(len(names) + 1):
            watching = {
                name
                for name in names
                if should_watch(
                    name,
                    names,
                    watching - {name},
                    is_watching=name in watching,
                    watchers=watchers,
                    small_domain=1,
                )
            }
        expected = names if len(names) == 1 else set(sorted(names)[:watchers])
        assert watching == expected

    @given(NAMES, st.data())
    def test_without_watchers_every_host_watches(self, names, data):
        own = data.draw(st.sampled_from(sorted(names)))
        is_watching = data.draw(st.booleans())
        assert should_watch(own, names, set(), is_watching=is_watching, small_domain=1)


class TestStartDelay:
    DOMAIN = tuple(f"h{n:02}" for n in range(30))

    def test_the_first_host_starts_without_delay(self):
        assert start_delay("h00", self.DOMAIN, set()) == timedelta(0)

    def test_with_one_watcher_each_preceding_host_adds_a_step(self):
        assert start_delay("h04", self.DOMAIN, {"h01"}) == 3 * START_STEP

    def test_without_watchers_the_first_hosts_have_short_delays(self):
        last = self.DOMAIN[URGENT_HOSTS - 1]
        assert start_delay(last, self.DOMAIN, set()) == 5 * URGENT_START_STEP

    def test_without_watchers_the_other_hosts_have_long_delays(self):
        tenth = start_delay("h09", self.DOMAIN, set())
        assert tenth == 5 * URGENT_START_STEP + 4 * LATE_START_STEP

    def test_in_a_small_domain_no_host_has_a_delay(self):
        assert start_delay("h3", {"h1", "h2", "h3"}, set()) == timedelta(0)


class Domain:
    """The hosts of one failure domain, which detect lost watchers after a delay.

    Attributes:
        max_watching: The maximum number of hosts that were elected at once.
    """

    def __init__(self, count: int) -> None:
        self.now = timedelta(seconds=100)
        self.names = [f"h{n:02}" for n in range(count)]
        self.elections_by_id = {
            name: WatcherElection(own_id=name, started_at=self.now)
            for name in self.names
        }
        #: Hosts whose own watch is down, because the platform rejects them.
        self.rejected: set[str] = set()
        self._heartbeat_at: dict[str, timedelta] = {}
        self.max_watching = 0

    @property
    def watching(self) -> set[str]:
        return {
            name
            for name, election in self.elections_by_id.items()
            if election.is_watching
        }

    @property
    def serving(self) -> set[str]:
        """The watchers whose watches are up."""
        return self.watching - self.rejected

    def run(self, duration: timedelta) -> None:
        until = self.now + duration
        while self.now < until:
            watching_ids = {
                name
                for name, at in self._heartbeat_at.items()
                if self.now - at < DETECTION_DELAY
            }
            for name, election in self.elections_by_id.items():
                election.decide(set(self.names), watching_ids - {name}, now=self.now)
            for name in self.serving:
                self._heartbeat_at[name] = self.now
            self.max_watching = max(self.max_watching, len(self.watching))
            self.now += ROUND


class TestWatcherElection:
    def test_no_host_watches_before_it_has_listened_for_others(self):
        domain = Domain(30)
        domain.run(JOIN_DELAY - ROUND)
        assert not domain.watching

    @given(st.integers(5, 40))
    def test_a_domain_that_starts_together_soon_has_few_watchers(self, count):
        domain = Domain(count)
        domain.run(JOIN_DELAY + timedelta(seconds=1))
        assert domain.max_watching <= 4
        domain.run(STOP_DELAY + timedelta(seconds=1))
        assert domain.watching == set(domain.names[:WATCHERS])

    @given(st.integers(8, 40), st.sets(st.integers(0, 7), max_size=4))
    def test_lost_watchers_are_replaced_in_time_by_few_hosts(self, count, lost):
        domain = Domain(count)
        domain.run(timedelta(seconds=8))
        domain.rejected = {domain.names[n] for n in lost}
        domain.max_watching = 0
        domain.run(DETECTION_DELAY + URGENT_HOSTS * URGENT_START_STEP + 2 * ROUND)
        assert domain.serving
        domain.run(timedelta(seconds=12))
        assert len(domain.serving) >= WATCHERS
        assert domain.max_watching <= len(lost) + 2 * WATCHERS + 2

    def test_while_the_platform_is_down_few_hosts_try(self):
        domain = Domain(30)
        domain.run(timedelta(seconds=8))
        domain.rejected = set(domain.names)
        domain.run(timedelta(seconds=7))
        assert len(domain.watching) <= URGENT_HOSTS + 6
        domain.rejected = set()
        domain.run(STOP_DELAY + timedelta(seconds=2))
        assert domain.watching == set(domain.names[:WATCHERS])

    def test_no_more_hosts_start_while_watches_recover_one_by_one(self):
        domain = Domain(30)
        domain.run(timedelta(seconds=8))
        domain.rejected = set(domain.names)
        domain.run(timedelta(seconds=7))
        tried = domain.watching
        domain.max_watching = 0
        for name in sorted(tried):
            domain.rejected.discard(name)
            domain.run(3 * ROUND)
        domain.rejected = set()
        domain.run(timedelta(seconds=2))
        assert domain.max_watching == len(tried)

    def test_a_recovered_watcher_restores_the_number_of_watchers(self):
        domain = Domain(20)
        domain.run(timedelta(seconds=8))
        domain.rejected = {"h00"}
        domain.run(timedelta(seconds=8))
        assert domain.serving == {"h01", "h02"}
        domain.rejected = set()
        domain.run(timedelta(seconds=8))
        assert domain.serving == {"h00", "h01"}

    def test_hosts_that_join_later_do_not_replace_watchers(self):
        domain = Domain(20)
        first = domain.names[0]
        late = domain.elections_by_id.pop(first)
        domain.run(timedelta(seconds=8))
        watching = domain.watching
        domain.elections_by_id[first] = attrs.evolve(late, started_at=domain.now)
        domain.run(timedelta(seconds=8))
        assert domain.watching == watching
