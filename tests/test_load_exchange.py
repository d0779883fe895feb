"""Exchange of loads between hosts, the roster, and the choice of links."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from passtally.brittle_endpoints import BrittleEndpoints
from passtally.clock import ManualClock
from passtally.load_exchange import (
    CATCH_UP_INTERVAL,
    FORGET_AFTER,
    LoadExchange,
    LoadTable,
)
from passtally.member_table import SUSPECT_TIMEOUT, MemberTable
from passtally.messages import BrittleRow, HostNews, MemberRow, TokenLoad
from passtally.objects import EndpointStart
from passtally.request_limits import RequestLimits
from passtally.roster import MAX_LINKS, RING_LINKS, Roster, choose_links
from passtally.settings import Address, PeerAddress
from standins.virtual import VirtualClock, run_virtually

NOW = timedelta(0)
A = EndpointStart(endpoint_id="a")


class TestLoadTable:
    def test_loads_of_all_hosts_add_up(self):
        load_table = LoadTable()
        load_table.update(
            "h1", {"a": TokenLoad(held=10, reading=5, running=2)}, now=NOW
        )
        load_table.update(
            "h2", {"a": TokenLoad(held=1, running=1), "b": TokenLoad(held=7)}, now=NOW
        )
        assert load_table.load(A) == TokenLoad(held=11, reading=5, running=3)
        assert load_table.load(EndpointStart(endpoint_id="b")) == TokenLoad(held=7)
        assert load_table.load(EndpointStart(endpoint_id="c")) == TokenLoad()

    def test_a_newer_update_replaces_an_older_one(self):
        load_table = LoadTable()
        load_table.update("h1", {"a": TokenLoad(held=10)}, now=NOW)
        load_table.update("h1", {}, now=NOW)
        assert load_table.load(A) == TokenLoad()

    def test_loads_of_a_silent_host_expire(self):
        load_table = LoadTable()
        load_table.update("h1", {"a": TokenLoad(held=10)}, now=NOW)
        load_table.update("h2", {"a": TokenLoad(held=1)}, now=NOW + FORGET_AFTER)
        load_table.remove_expired(NOW + FORGET_AFTER + timedelta(milliseconds=1))
        assert load_table.load(A) == TokenLoad(held=1)


class ExchangeNetwork:
    """Hosts that exchange loads; links between them may be down."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.hosts: dict[str, ExchangeHost] = {}
        self.down: set[frozenset[str]] = set()
        self.sent = 0

    def add(self, name: str) -> "ExchangeHost":
        """Start or restart a host."""
        host = self.hosts[name] = ExchangeHost(name, self)
        return host


class ExchangeHost:
    """One host, in place of the fleet, the roster and the links of its exchange."""

    def __init__(self, name: str, net: ExchangeNetwork) -> None:
        self.name = name
        self.net = net
        self.load_changed = asyncio.Event()
        self.loads: dict[str, TokenLoad] = {}
        self.load_table = LoadTable()
        #: This host is its own fleet, with the limits and the losses of one.
        self.send_limits = self.losses = self
        self.requests = RequestLimits()
        self.brittle = BrittleEndpoints()
        self.exchange = LoadExchange(
            host_id=name,
            load_table=self.load_table,
            fleet=self,
            peers=self,
            roster=self,
            clock=net.clock,
            on_lost=lambda start: None,
        )
        self.task = asyncio.create_task(self.exchange.run())

    def put(self, **loads: int) -> None:
        self.loads = {name: TokenLoad(held=held) for name, held in loads.items()}
        self.load_changed.set()

    def loads_by_endpoint(self) -> dict[str, TokenLoad]:
        return dict(self.loads)

    def merge_brittle(self, rows: Sequence[BrittleRow]) -> None:
        now = self.net.clock.monotonic()
        self.brittle.merge(rows, count_open=lambda endpoint_id: 0, now=now)

    def pop_unreported(self) -> list[EndpointStart]:
        return []

    def linked(self) -> list[MemberRow]:
        return [
            MemberRow(name, "pilar", 1, 0, False, "x")
            for name in self.net.hosts
            if name != self.name
        ]

    def listen(self, kind: type, listener: Callable[[HostNews], None]) -> None:
        self.receive = listener

    async def send_message(self, host_ids: Sequence[str], news: HostNews) -> set[str]:
        up = {
            name
            for name in host_ids
            if frozenset((name, self.name)) not in self.net.down
        }
        for name in up:
            self.net.sent += 1
            self.net.hosts[name].receive(news)
        return up


class TestLoadExchange:
    CATCH_UP_TIME = 2 * CATCH_UP_INTERVAL

    def play(self, test: Callable[[ExchangeNetwork], Awaitable[None]]) -> None:
        async def main() -> None:
            net = ExchangeNetwork()
            await test(net)
            for host in net.hosts.values():
                host.task.cancel()

        run_virtually(main())

    def test_a_change_is_sent_to_all(self):
        async def test(net: ExchangeNetwork) -> None:
            first, second = net.add("h1"), net.add("h2")
            first.put(a=10)
            await net.clock.sleep(self.CATCH_UP_TIME)
            assert second.load_table.load(A) == TokenLoad(held=10)

        self.play(test)

    def test_a_host_that_was_cut_off_catches_up(self):
        async def test(net: ExchangeNetwork) -> None:
            first, second = net.add("h1"), net.add("h2")
            await net.clock.sleep(self.CATCH_UP_TIME)
            net.down.add(frozenset(("h1", "h2")))
            first.put(a=10)
            await net.clock.sleep(timedelta(seconds=6))
            assert second.load_table.load(A) == TokenLoad()
            net.down.clear()
            await net.clock.sleep(self.CATCH_UP_TIME)
            assert second.load_table.load(A) == TokenLoad(held=10)

        self.play(test)

    def test_a_host_that_restarts_catches_up(self):
        async def test(net: ExchangeNetwork) -> None:
            first = net.add("h1")
            net.add("h2")
            first.put(a=10)
            await net.clock.sleep(self.CATCH_UP_TIME)
            net.hosts["h2"].task.cancel()
            again = net.add("h2")
            await net.clock.sleep(self.CATCH_UP_TIME)
            assert again.load_table.load(A) == TokenLoad(held=10)

        self.play(test)

    def test_unchanged_loads_are_sent_rarely(self):
        async def test(net: ExchangeNetwork) -> None:
            net.add("h1").put(a=10)
            net.add("h2")
            await net.clock.sleep(self.CATCH_UP_TIME)
            before = net.sent
            await net.clock.sleep(timedelta(seconds=10))
            assert net.sent - before <= 5

        self.play(test)


class FakeLinks:
    """Links to peers without a network."""

    def __init__(self) -> None:
        self.peers: dict[str, PeerAddress] = {}

    @property
    def ids(self) -> list[str]:
        return list(self.peers)

    def add_peer(self, peer: PeerAddress) -> None:
        self.peers[peer.host_id] = peer

    def remove_peer(self, host_id: str) -> None:
        self.peers.pop(host_id, None)

    def find(self, address: Address) -> list[str]:
        return [name for name, peer in self.peers.items() if peer.address == address]


def make_roster(*seeds: str) -> tuple[Roster, MemberTable, FakeLinks, ManualClock]:
    own = MemberRow("own", "pilar", 1, 0, False, "10.0.0.1:1")
    clock, links = ManualClock(), FakeLinks()
    table = MemberTable(own=own)
    addresses = [
        Address(host=seed.partition(":")[0], port=int(seed.partition(":")[2]))
        for seed in seeds
    ]
    roster = Roster(seeds=addresses, table=table, peers=links, clock=clock)
    return roster, table, links, clock


def lose(table: MemberTable, clock: ManualClock, *host_ids: str) -> None:
    """Suspect hosts for ``SUSPECT_TIMEOUT``, after which they count as dead."""
    for host_id in host_ids:
        table.suspect(host_id, clock.monotonic())
    clock.advance(SUSPECT_TIMEOUT)
    table.expire(clock.monotonic())


class TestRoster:
    def test_seeds_are_dialled_until_their_host_ids_are_known(self):
        roster, table, links, clock = make_roster("10.0.0.1:1", "10.0.0.2:1")
        roster.link_seeds()
        assert links.ids == ["seed-10.0.0.2:1"]
        row = MemberRow("other", "tigre", 5, 0, False, "10.0.0.2:1")
        table.merge([row], clock.monotonic())
        roster.update_links()
        assert links.ids == ["other"]

    def test_if_all_are_dead_the_seeds_and_a_host_of_each_domain_are_tried(self):
        roster, table, links, clock = make_roster("10.0.0.9:1")
        rows = [
            MemberRow(f"h{number}", domain, 5, 0, False, f"10.0.0.{number}:1")
            for number, domain in ((2, "tigre"), (3, "tigre"), (4, "escobar"))
        ]
        table.merge(rows, clock.monotonic())
        roster.update_links()
        assert sorted(links.ids) == ["h2", "h3", "h4"]
        lose(table, clock, "h2", "h3", "h4")
        roster.update_links()
        assert sorted(links.ids) == ["h3", "h4", "seed-10.0.0.9:1"]
        assert roster.linked() == []

    def test_the_peak_is_kept_when_hosts_become_unreachable(self):
        roster, table, _, clock = make_roster()
        for number in range(4):
            row = MemberRow(
                f"h{number}", "tigre", 5, 0, False, f"10.0.0.{number + 2}:1"
            )
            table.merge([row], clock.monotonic())
        roster.update_links()
        lose(table, clock, "h0", "h1", "h2", "h3")
        roster.update_links()
        assert roster.peak_hosts == 5
        assert roster.others() == []


def make_rows(count: int, domains: str = "abc") -> list[MemberRow]:
    return [
        MemberRow(f"h{n:03}", domains[n % len(domains)], 1, 0, False, f"10.0.0.{n}:1")
        for n in range(count)
    ]


class TestLinks:
    def test_a_few_hosts_all_link_to_each_other(self):
        own, *others = make_rows(MAX_LINKS)
        assert choose_links(own, others) == others

    def test_in_a_large_fleet_a_host_has_a_bounded_number_of_links(self):
        rows = make_rows(330, "abcdef")
        for own in rows[::50]:
            others = [row for row in rows if row is not own]
            links = choose_links(own, others)
            near = [r for r in links if r.failure_domain == own.failure_domain]
            assert len(near) == RING_LINKS
            assert len(links) == RING_LINKS + 5

    @given(st.integers(30, 120), st.sets(st.integers(0, 119), max_size=20))
    def test_the_hosts_of_a_domain_stay_connected(self, count, lost):
        rows = [row for n, row in enumerate(make_rows(count)) if n not in lost]
        if len(rows) <= MAX_LINKS:
            return
        domain = [row for row in rows if row.failure_domain == "a"]
        names = {row.host_id for row in domain}
        reached = {domain[0].host_id}
        frontier = [domain[0]]
        while frontier:
            own = frontier.pop()
            others = [row for row in rows if row is not own]
            for row in choose_links(own, others):
                if row.host_id in names and row.host_id not in reached:
                    reached.add(row.host_id)
                    frontier.append(row)
        assert reached == names
