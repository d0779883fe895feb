"""Which hosts of a failure domain watch the platform."""

from datetime import timedelta

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from passtally.watcher_election import (
    JOIN_WAIT,
    LATE_STEP,
    STAND_DOWN_AFTER,
    STEP,
    URGENT_HOSTS,
    URGENT_STEP,
    WATCHERS,
    WatcherElection,
    should_watch,
    waiting_time,
)

NAMES = st.sets(st.integers(0, 30).map(lambda n: f"h{n:02}"), min_size=1, max_size=20)
ROUND = timedelta(milliseconds=100)
#: How long a watcher's end takes to be noticed by the others.
HEARING_LAG = timedelta(milliseconds=1300)


class TestShouldWatch:
    DOMAIN = tuple(f"h{n}" for n in range(9))

    @pytest.mark.parametrize("is_watching", [False, True])
    def test_in_a_small_domain_all_watch(self, is_watching):
        domain = {"a", "b", "z"}
        assert should_watch("z", domain, {"a", "b"}, is_watching=is_watching)

    def test_a_host_begins_only_where_too_few_watch(self):
        for enough in ({"h1", "h2"}, {"h1", "h7"}, {"h7", "h8"}):
            assert not should_watch("h5", self.DOMAIN, enough, is_watching=False)
        for too_few in (set(), {"h1"}, {"h7"}):
            assert should_watch("h5", self.DOMAIN, too_few, is_watching=False)

    def test_a_watcher_stops_only_where_enough_before_it_watch(self):
        assert not should_watch("h5", self.DOMAIN, {"h1", "h2"}, is_watching=True)
        assert should_watch("h5", self.DOMAIN, {"h1", "h7", "h8"}, is_watching=True)

    @given(NAMES, st.integers(1, 4))
    def test_of_too_many_the_first_ones_stay(self, names, watchers):
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
    def test_where_no_watcher_is_heard_everyone_watches(self, names, data):
        own = data.draw(st.sampled_from(sorted(names)))
        is_watching = data.draw(st.booleans())
        assert should_watch(own, names, set(), is_watching=is_watching, small_domain=1)


class TestWaitingTime:
    DOMAIN = tuple(f"h{n:02}" for n in range(30))

    def test_the_first_host_does_not_wait(self):
        assert waiting_time("h00", self.DOMAIN, set()) == timedelta(0)

    def test_with_one_watcher_heard_the_hosts_before_go_first(self):
        assert waiting_time("h04", self.DOMAIN, {"h01"}) == 3 * STEP

    def test_without_any_the_first_ones_wait_shortly(self):
        last = self.DOMAIN[URGENT_HOSTS - 1]
        assert waiting_time(last, self.DOMAIN, set()) == 5 * URGENT_STEP

    def test_without_any_the_others_follow_one_by_one(self):
        tenth = waiting_time("h09", self.DOMAIN, set())
        assert tenth == 5 * URGENT_STEP + 4 * LATE_STEP

    def test_in_a_small_domain_nobody_waits(self):
        assert waiting_time("h3", {"h1", "h2", "h3"}, set()) == timedelta(0)


class Domain:
    """The hosts of one failure domain that hear each other with a lag."""

    def __init__(self, count: int) -> None:
        self.now = timedelta(seconds=100)
        self.names = [f"h{n:02}" for n in range(count)]
        self.duties = {
            name: WatcherElection(own_id=name, started_at=self.now)
            for name in self.names
        }
        #: Hosts whose own watch is down: the platform turns them away.
        self.turned_away: set[str] = set()
        self._heard_at: dict[str, timedelta] = {}
        self.most = 0

    @property
    def watching(self) -> set[str]:
        return {name for name, election in self.duties.items() if election.is_watching}

    @property
    def serving(self) -> set[str]:
        """The watchers whose watches are up."""
        return self.watching - self.turned_away

    def run(self, duration: timedelta) -> None:
        until = self.now + duration
        while self.now < until:
            heard = {
                name
                for name, at in self._heard_at.items()
                if self.now - at < HEARING_LAG
            }
            for name, election in self.duties.items():
                election.decide(set(self.names), heard - {name}, now=self.now)
            for name in self.serving:
                self._heard_at[name] = self.now
            self.most = max(self.most, len(self.watching))
            self.now += ROUND


class TestWatchDuty:
    def test_nobody_watches_before_it_has_listened_for_others(self):
        domain = Domain(30)
        domain.run(JOIN_WAIT - ROUND)
        assert not domain.watching

    @given(st.integers(5, 40))
    def test_a_domain_that_starts_together_soon_has_few_watchers(self, count):
        domain = Domain(count)
        domain.run(JOIN_WAIT + timedelta(seconds=1))
        assert domain.most <= 4
        domain.run(STAND_DOWN_AFTER + timedelta(seconds=1))
        assert domain.watching == set(domain.names[:WATCHERS])

    @given(st.integers(8, 40), st.sets(st.integers(0, 7), max_size=4))
    def test_lost_watchers_are_followed_in_time_and_not_by_all(self, count, lost):
        domain = Domain(count)
        domain.run(timedelta(seconds=8))
        domain.turned_away = {domain.names[n] for n in lost}
        domain.most = 0
        domain.run(HEARING_LAG + URGENT_HOSTS * URGENT_STEP + 2 * ROUND)
        assert domain.serving
        domain.run(timedelta(seconds=12))
        assert len(domain.serving) >= WATCHERS
        assert domain.most <= len(lost) + 2 * WATCHERS + 2

    def test_while_the_platform_is_away_few_hosts_try(self):
        domain = Domain(30)
        domain.run(timedelta(seconds=8))
        domain.turned_away = set(domain.names)
        domain.run(timedelta(seconds=7))
        assert len(domain.watching) <= URGENT_HOSTS + 6
        domain.turned_away = set()
        domain.run(STAND_DOWN_AFTER + timedelta(seconds=2))
        assert domain.watching == set(domain.names[:WATCHERS])

    def test_when_the_platform_is_back_for_one_after_the_other_no_more_begin(self):
        domain = Domain(30)
        domain.run(timedelta(seconds=8))
        domain.turned_away = set(domain.names)
        domain.run(timedelta(seconds=7))
        tried = domain.watching
        domain.most = 0
        for name in sorted(tried):
            domain.turned_away.discard(name)
            domain.run(3 * ROUND)
        domain.turned_away = set()
        domain.run(timedelta(seconds=2))
        assert domain.most == len(tried)

    def test_a_watcher_that_is_back_ends_with_as_few_as_before(self):
        domain = Domain(20)
        domain.run(timedelta(seconds=8))
        domain.turned_away = {"h00"}
        domain.run(timedelta(seconds=8))
        assert domain.serving == {"h01", "h02"}
        domain.turned_away = set()
        domain.run(timedelta(seconds=8))
        assert domain.serving == {"h00", "h01"}

    def test_hosts_that_come_later_take_nothing_over(self):
        domain = Domain(20)
        first = domain.names[0]
        late = domain.duties.pop(first)
        domain.run(timedelta(seconds=8))
        watching = domain.watching
        domain.duties[first] = attrs.evolve(late, started_at=domain.now)
        domain.run(timedelta(seconds=8))
        assert domain.watching == watching
