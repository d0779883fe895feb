"""What hosts tell each other of loads; how budgets are divided among them."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from passtally.clock import ManualClock
from passtally.host_news import FORGET_AFTER, LoadBoard
from passtally.membership import MemberTable
from passtally.messages import MemberRow, TokenLoad
from passtally.roster import MAX_LINKS, RING_LINKS, Roster, choose_links
from passtally.settings import Address, PeerAddress

NOW = timedelta(0)


class TestLoadBoard:
    def test_loads_of_all_hosts_add_up(self):
        board = LoadBoard()
        board.take("h1", {"a": TokenLoad(held=10, reading=5, running=2)}, now=NOW)
        board.take(
            "h2", {"a": TokenLoad(held=1, running=1), "b": TokenLoad(held=7)}, now=NOW
        )
        assert board.load("a") == TokenLoad(held=11, reading=5, running=3)
        assert board.load("b") == TokenLoad(held=7)
        assert board.load("c") == TokenLoad()

    def test_newer_news_replaces_older(self):
        board = LoadBoard()
        board.take("h1", {"a": TokenLoad(held=10)}, now=NOW)
        board.take("h1", {}, now=NOW)
        assert board.load("a") == TokenLoad()

    def test_a_host_that_is_silent_is_forgotten(self):
        board = LoadBoard()
        board.take("h1", {"a": TokenLoad(held=10)}, now=NOW)
        board.take("h2", {"a": TokenLoad(held=1)}, now=NOW + FORGET_AFTER)
        board.forget_old(NOW + FORGET_AFTER + timedelta(milliseconds=1))
        assert board.load("a") == TokenLoad(held=1)


class FakeLinks:
    """The links to peers, without any network."""

    def __init__(self) -> None:
        self.peers: dict[str, PeerAddress] = {}

    @property
    def ids(self) -> list[str]:
        return list(self.peers)

    def meet(self, peer: PeerAddress) -> None:
        self.peers[peer.host_id] = peer

    def forget(self, host_id: str) -> None:
        self.peers.pop(host_id, None)

    def find(self, address: Address) -> list[str]:
        return [name for name, peer in self.peers.items() if peer.address == address]


def make_roster(*seeds: str) -> tuple[Roster, MemberTable, FakeLinks, ManualClock]:
    own = MemberRow("own", "pilar", 1, 0, False, "10.0.0.1:1")
    clock, links = ManualClock(), FakeLinks()
    table = MemberTable(own=own, alive_for=timedelta(seconds=8))
    addresses = [
        Address(host=seed.partition(":")[0], port=int(seed.partition(":")[2]))
        for seed in seeds
    ]
    roster = Roster(seeds=addresses, table=table, peers=links, clock=clock)
    return roster, table, links, clock


class TestRoster:
    def test_seeds_are_dialled_until_their_names_are_known(self):
        roster, table, links, clock = make_roster("10.0.0.1:1", "10.0.0.2:1")
        roster.meet_seeds()
        assert links.ids == ["seed-10.0.0.2:1"]
        row = MemberRow("other", "tigre", 5, 0, False, "10.0.0.2:1")
        table.merge([row], clock.monotonic())
        roster.meet()
        assert links.ids == ["other"]

    def test_a_host_out_of_reach_is_let_go_and_its_seed_tried_again(self):
        roster, table, links, clock = make_roster("10.0.0.2:1")
        row = MemberRow("other", "tigre", 5, 0, False, "10.0.0.2:1")
        table.merge([row], clock.monotonic())
        roster.meet()
        clock.advance(timedelta(seconds=9))
        roster.meet()
        assert links.ids == ["seed-10.0.0.2:1"]

    def test_the_peak_is_kept_when_hosts_go_out_of_reach(self):
        roster, table, _, clock = make_roster()
        for number in range(4):
            row = MemberRow(
                f"h{number}", "tigre", 5, 0, False, f"10.0.0.{number + 2}:1"
            )
            table.merge([row], clock.monotonic())
        roster.meet()
        clock.advance(timedelta(seconds=60))
        roster.meet()
        assert roster.peak == 5
        assert roster.others() == []


def make_rows(count: int, domains: str = "abc") -> list[MemberRow]:
    return [
        MemberRow(f"h{n:03}", domains[n % len(domains)], 1, 0, False, f"10.0.0.{n}:1")
        for n in range(count)
    ]


class TestLinks:
    def test_few_hosts_all_link_to_each_other(self):
        own, *others = make_rows(MAX_LINKS)
        assert choose_links(own, others) == others

    def test_among_many_a_host_links_to_a_bounded_number(self):
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
