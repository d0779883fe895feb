"""What is known of requests under which endpoints ended, and how hosts hear of it."""

import asyncio
import random
from datetime import timedelta

import msgspec
import pytest
from aiohttp.test_utils import make_mocked_request
from hypothesis import given
from hypothesis import strategies as st

from passtally.clock import ManualClock
from passtally.crash_guard import CRASH_WINDOW, CrashGuard
from passtally.fingerprint import fingerprint_of
from passtally.messages import CrashRow, MemberRow
from passtally.objects import EndpointStart
from passtally.operator_api import OperatorApi
from passtally.outcome import Outcome, RefusedError
from passtally.quarantine import (
    MAX_CRASHES,
    MAX_NAMED,
    MAX_SUSPECTS,
    MAX_TRUSTED,
    RETENTION_TIME,
    TRUSTED_FOR,
    Quarantine,
)
from passtally.quarantine_exchange import MAX_ROWS, QuarantineExchange
from standins.virtual import VirtualClock, run_virtually
from tests.rated_network import FixedRoster, RatedNetwork

NOW = timedelta(hours=1)
REQUEST = b"request"
#: The users count a host as in touch after so long without trouble.
IN_TOUCH = 3.0


def start(number: int, incarnation: int = 0) -> EndpointStart:
    return EndpointStart(endpoint_id=f"e{number}", incarnation=incarnation)


def crash(quarantine: Quarantine, *numbers: int, now: timedelta = NOW) -> None:
    for number in numbers:
        quarantine.record_crash(REQUEST, start(number), now=now)


class TestFingerprint:
    @given(
        st.lists(
            st.tuples(st.text(max_size=3), st.binary(max_size=3), st.binary(max_size=3))
        )
    )
    def test_no_two_requests_share_one(self, requests):
        found = {fingerprint_of(*request) for request in requests}
        assert len(found) == len(set(requests))


class TestVerdict:
    def test_it_is_refused_after_so_many_ends(self):
        quarantine = Quarantine()
        for number in range(MAX_CRASHES):
            assert quarantine.remaining(REQUEST, now=NOW) is None
            crash(quarantine, number)
        assert quarantine.remaining(REQUEST, now=NOW) == RETENTION_TIME
        assert quarantine.remaining(b"another", now=NOW) is None

    def test_the_end_of_one_start_counts_once(self):
        quarantine = Quarantine()
        crash(quarantine, *[1] * 9)
        assert quarantine.remaining(REQUEST, now=NOW) is None

    def test_starts_under_one_id_count_each(self):
        quarantine = Quarantine()
        for incarnation in range(MAX_CRASHES):
            quarantine.record_crash(REQUEST, start(1, incarnation), now=NOW)
        assert quarantine.remaining(REQUEST, now=NOW)

    def test_a_good_end_clears_it_of_all_ends_before(self):
        quarantine = Quarantine()
        crash(quarantine, 1, 2)
        quarantine.record_success(REQUEST, now=NOW)
        later = NOW + TRUSTED_FOR + timedelta(seconds=1)
        crash(quarantine, 3, 4, now=later)
        assert quarantine.remaining(REQUEST, now=later) is None
        crash(quarantine, 5, now=later)
        assert quarantine.remaining(REQUEST, now=later)

    def test_what_ended_well_a_moment_ago_ends_nothing(self):
        quarantine = Quarantine()
        quarantine.record_success(REQUEST, now=NOW)
        crash(quarantine, *range(9), now=NOW + TRUSTED_FOR)
        assert quarantine.remaining(REQUEST, now=NOW + TRUSTED_FOR) is None

    def test_it_lapses_after_the_last_end(self):
        quarantine = Quarantine()
        crash(quarantine, 1, 2, 3)
        assert (
            quarantine.remaining(REQUEST, now=NOW + RETENTION_TIME / 2)
            == RETENTION_TIME / 2
        )
        later = NOW + RETENTION_TIME + timedelta(seconds=1)
        assert quarantine.remaining(REQUEST, now=later) is None
        assert quarantine.held(now=later) == []
        crash(quarantine, 4, now=later)
        assert quarantine.remaining(REQUEST, now=later) is None

    def test_an_operator_can_lift_it(self):
        quarantine = Quarantine()
        crash(quarantine, 1, 2, 3)
        assert quarantine.lift(REQUEST)
        assert quarantine.remaining(REQUEST, now=NOW) is None
        assert not quarantine.lift(REQUEST)
        crash(quarantine, 1, 2, 3, 4, 5)
        assert quarantine.remaining(REQUEST, now=NOW) is None, "two since then"

    def test_what_is_remembered_is_bounded(self):
        quarantine = Quarantine()
        for number in range(2 * MAX_TRUSTED):
            fingerprint = number.to_bytes(4)
            quarantine.record_success(fingerprint, now=NOW)
            if number < 2 * MAX_SUSPECTS:
                fingerprint = b"s" + fingerprint
                quarantine.record_crash(fingerprint, start(1), now=NOW)
        crash(quarantine, *range(2 * MAX_NAMED))
        rows = quarantine.rows(now=NOW)
        assert len(quarantine._suspects) == MAX_SUSPECTS
        assert [len(row.crashed) for row in rows] == [MAX_NAMED]
        assert len(quarantine._trusted_at) == MAX_TRUSTED


EVENTS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from(["crash", "lift", "tell"])),
    max_size=30,
)


class TestMerging:
    @given(EVENTS, st.randoms(use_true_random=False))
    def test_all_hosts_agree_once_all_was_told_in_whatever_order(self, events, rng):
        hosts = [Quarantine() for _ in range(3)]
        sent: list[CrashRow] = []
        for number, (at, event) in enumerate(events):
            if event == "crash":
                hosts[at].record_crash(REQUEST, start(number % 7), now=NOW)
            elif event == "lift":
                hosts[at].lift(REQUEST)
            sent += hosts[at].pop_updates(9, now=NOW, told_before=NOW)
        sent *= 2
        for host in hosts:
            rng.shuffle(sent)
            for row in sent:
                host.merge(row, now=NOW)
        known = [
            [(set(row.crashed), row.cleared) for row in host.rows(now=NOW)]
            for host in hosts
        ]
        assert known[0] == known[1] == known[2]

    def test_a_host_where_it_ended_well_clears_what_others_count(self):
        here, there = Quarantine(), Quarantine()
        here.record_success(REQUEST, now=NOW)
        crash(there, 1, 2, 3)
        for row in there.rows(now=NOW):
            here.merge(row, now=NOW)
        for row in here.rows(now=NOW):
            there.merge(row, now=NOW)
        assert here.remaining(REQUEST, now=NOW) is None
        assert there.remaining(REQUEST, now=NOW) is None

    def test_how_long_ago_it_was_is_told(self):
        here, there = Quarantine(), Quarantine()
        crash(here, 1, 2, 3)
        [row] = here.rows(now=NOW + RETENTION_TIME / 2)
        there.merge(row, now=timedelta(days=9))
        assert there.remaining(REQUEST, now=timedelta(days=9)) == RETENTION_TIME / 2

    def test_what_is_too_old_is_not_taken(self):
        row = CrashRow(
            fingerprint=REQUEST, crashed=["a/0"], cleared=[], age_ms=10_000_000
        )
        quarantine = Quarantine()
        assert quarantine.merge(row, now=NOW) is None
        assert quarantine.rows(now=NOW) == []

    def test_news_goes_first_and_a_part_at_a_time(self):
        quarantine = Quarantine()
        for number in range(3 * MAX_ROWS):
            quarantine.record_crash(number.to_bytes(4), start(1), now=NOW)
        crash(quarantine, 1, 2)
        rows = quarantine.pop_updates(MAX_ROWS, now=NOW, told_before=NOW)
        assert len(rows) == MAX_ROWS
        assert rows[0].fingerprint == REQUEST
        while quarantine.has_updates:
            assert quarantine.pop_updates(MAX_ROWS, now=NOW, told_before=NOW)
        later = NOW + timedelta(seconds=5)
        again = quarantine.pop_updates(MAX_ROWS, now=later, told_before=NOW)
        assert [row.fingerprint for row in again] == [REQUEST], "the others ended one"


class LiveStandIn:
    """An endpoint as the guard sees it."""

    def __init__(self, number: int, *, has_served_one: bool = False) -> None:
        class _Endpoint:
            id = f"e{number}"
            start = EndpointStart(endpoint_id=f"e{number}")

        self.endpoint = _Endpoint
        self.has_served_one = has_served_one


class TestGuard:
    def make(self) -> CrashGuard:
        self.clock = ManualClock()
        self.clock.advance(NOW)
        self.held: list[bytes] = []
        return CrashGuard(
            quarantine=Quarantine(), clock=self.clock, on_quarantined=self.held.append
        )

    def test_it_is_refused_as_not_run_with_the_time_to_come_back(self):
        guard = self.make()
        for number in range(MAX_CRASHES):
            guard.check(REQUEST, service="s")
            guard.record_end(REQUEST, LiveStandIn(number), began_at=NOW)
        with pytest.raises(RefusedError) as caught:
            guard.check(REQUEST, service="s")
        failure = caught.value.failure
        assert (failure.status, failure.outcome) == (503, Outcome.NOT_RUN)
        assert failure.retry_after == RETENTION_TIME
        assert self.held == [REQUEST], "told once"

    def test_what_had_run_for_long_or_had_not_begun_among_others_is_innocent(self):
        guard = self.make()
        for number in range(9):
            guard.record_end(REQUEST, LiveStandIn(number), began_at=None)
            began_at = NOW - CRASH_WINDOW - timedelta(milliseconds=1)
            guard.record_end(REQUEST, LiveStandIn(number), began_at=began_at)
        guard.check(REQUEST, service="s")

    def test_what_was_alone_there_is_suspected_before_it_answers(self):
        guard = self.make()
        for number in range(MAX_CRASHES):
            live = LiveStandIn(number, has_served_one=True)
            guard.record_end(REQUEST, live, began_at=None)
        with pytest.raises(RefusedError):
            guard.check(REQUEST, service="s")

    def test_an_endpoint_is_asked_once_for_all_that_were_there(self):
        asked = []

        async def has_ended(live) -> bool:
            asked.append(live)
            await asyncio.sleep(0.01)
            return True

        async def main() -> None:
            guard = CrashGuard(
                quarantine=Quarantine(), clock=VirtualClock(), has_ended=has_ended
            )
            live = LiveStandIn(1)
            assert all(await asyncio.gather(*[guard.has_ended(live)] * 1))
            found = await asyncio.gather(*(guard.has_ended(live) for _ in range(64)))
            assert all(found)
            assert len(asked) == 2

        run_virtually(main())


class TestOperators:
    def call(self, guard: CrashGuard, name: str, **match_info: str):
        api = OperatorApi(token="t", store=None, intents=None, status=None, guard=guard)
        request = make_mocked_request("GET", "/", match_info=match_info)
        return asyncio.run(getattr(api, name)(request)).body

    def test_they_see_what_is_refused_and_lift_it(self):
        guard = TestGuard().make()
        for number in range(MAX_CRASHES):
            guard.record_crash(REQUEST, LiveStandIn(number))
        row = {"id": REQUEST.hex(), "ended": ["e0/0", "e1/0", "e2/0"]}
        assert msgspec.json.decode(self.call(guard, "list_quarantined")) == [row]
        self.call(guard, "lift", id=REQUEST.hex())
        assert guard.remaining(REQUEST) is None
        assert msgspec.json.decode(self.call(guard, "list_quarantined")) == []

    @pytest.mark.parametrize("name", ["", "no hex", REQUEST.hex()])
    def test_what_is_not_refused_can_not_be_lifted(self, name):
        with pytest.raises(RefusedError) as caught:
            self.call(TestGuard().make(), "lift", id=name)
        assert caught.value.failure.status == 404


class NewsFleet:
    """Hosts that tell each other of such requests, in virtual time."""

    def __init__(self, hosts: int, *, domains: int = 3) -> None:
        self.clock = VirtualClock()
        self.network = RatedNetwork(bits_per_second=5e6)
        self.rows = [
            MemberRow(
                host_id=f"h{number:03}",
                failure_domain=f"d{number % domains}",
                counter=1,
                config_version=0,
                leaving=False,
            )
            for number in range(hosts)
        ]
        self.guards: dict[str, CrashGuard] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, rows: list[MemberRow]) -> None:
        for row in rows:
            roster = FixedRoster(own=row, rows=self.rows)
            linked_ids = [linked.host_id for linked in roster.linked()]
            far_ids = roster.far_ids()
            guard = CrashGuard(quarantine=Quarantine(), clock=self.clock)
            self.guards[row.host_id] = guard
            exchange = QuarantineExchange(
                guard=guard,
                peers=self.network.add(row.host_id),
                linked_ids=lambda ids=linked_ids: ids,
                far_ids=lambda ids=far_ids: ids,
                clock=self.clock,
                rng=random.Random(row.host_id),
            )
            self.tasks.append(asyncio.create_task(exchange.run()))
            self.tasks.append(asyncio.create_task(exchange.ask()))

    def crash(self, *hosts: str) -> None:
        """End three endpoints, each seen by another host."""
        for number, host_id in enumerate(hosts):
            self.guards[host_id].record_crash(REQUEST, LiveStandIn(number))

    def count_held(self) -> int:
        return sum(guard.remaining(REQUEST) is not None for guard in self.held_by())

    def held_by(self) -> list[CrashGuard]:
        return [
            guard
            for host_id, guard in self.guards.items()
            if host_id not in self.network.cut
        ]


class TestHosts:
    # Guards against tries at other hosts that go on after three endpoints ended.
    @pytest.mark.parametrize("hosts", [7, 90, 195, 330])
    def test_all_refuse_it_well_before_they_count_as_in_touch(self, hosts):
        async def main() -> None:
            fleet = NewsFleet(hosts)
            fleet.start(fleet.rows)
            await asyncio.sleep(2)
            sent = sum(peers.up.bytes for peers in fleet.network.peers_by_id.values())
            fleet.crash("h001", "h002", "h006")
            await asyncio.sleep(IN_TOUCH / 3)
            assert fleet.count_held() == hosts
            await asyncio.sleep(2)
            spent = sum(peers.up.bytes for peers in fleet.network.peers_by_id.values())
            assert (spent - sent) / hosts / 3 < 4000, "bytes a second of each host"

        run_virtually(main())

    @pytest.mark.parametrize("hosts", [7, 90])
    def test_a_host_that_was_cut_off_refuses_it_soon_after(self, hosts):
        async def main() -> None:
            fleet = NewsFleet(hosts)
            fleet.start(fleet.rows)
            await asyncio.sleep(2)
            fleet.network.cut = {row.host_id for row in fleet.rows[3::3]}
            fleet.crash("h001", "h002", "h001")
            fleet.guards["h001"].record_crash(REQUEST, LiveStandIn(7))
            await asyncio.sleep(10)
            assert fleet.count_held() == len(fleet.held_by())
            fleet.network.cut = set()
            await asyncio.sleep(IN_TOUCH)
            assert fleet.count_held() == hosts

        run_virtually(main())

    @pytest.mark.parametrize("hosts", [7, 90])
    def test_a_host_that_starts_is_told(self, hosts):
        async def main() -> None:
            fleet = NewsFleet(hosts)
            fleet.start(fleet.rows[:-1])
            await asyncio.sleep(2)
            fleet.crash("h001", "h002", "h003")
            await asyncio.sleep(5)
            fleet.start(fleet.rows[-1:])
            await asyncio.sleep(IN_TOUCH / 3)
            assert fleet.count_held() == hosts

        run_virtually(main())

    @pytest.mark.parametrize("hosts", [7, 90])
    def test_what_an_operator_lifts_is_taken_again_by_all(self, hosts):
        async def main() -> None:
            fleet = NewsFleet(hosts)
            fleet.start(fleet.rows)
            await asyncio.sleep(2)
            fleet.crash("h001", "h002", "h003")
            await asyncio.sleep(5)
            assert fleet.guards["h004"].lift(REQUEST)
            await asyncio.sleep(IN_TOUCH / 3)
            assert fleet.count_held() == 0

        run_virtually(main())


class TestBadDay:
    def test_ends_of_many_at_once_are_told_within_bounds(self):
        """A hundred endpoints end under 20 requests each, at 30 hosts."""

        async def main() -> None:
            fleet = NewsFleet(30)
            fleet.start(fleet.rows)
            await asyncio.sleep(2)
            rng = random.Random(1)
            for number in range(2000):
                guard = fleet.guards[f"h{rng.randrange(30):03}"]
                guard.record_crash(number.to_bytes(4), LiveStandIn(number % 100))
            await asyncio.sleep(5)
            links = fleet.network.peers_by_id.values()
            assert max(peers.up.longest_backlog for peers in links) < 0.2, "seconds"
            assert not any(
                guard.quarantine.held(now=fleet.clock.monotonic())
                for guard in fleet.guards.values()
            )

        run_virtually(main())
