"""When a host that is cut off asks for no new callers."""

import asyncio

import pytest

from passtally.clock import ManualClock
from passtally.fleet import Fleet
from passtally.isolation import Isolation
from passtally.objects import Endpoint, Service, ServiceKind
from tests.fakes import make_catalog


class FakeEngine:
    """Takes connections or not."""

    def __init__(self) -> None:
        self.is_there = False

    async def is_reachable(self) -> bool:
        return self.is_there


class FakeRoster:
    """Hosts of other failure domains."""

    failure_domain = "pilar"

    def __init__(self) -> None:
        self.far = ["far-1", "far-2"]

    def far_ids(self) -> list[str]:
        return self.far


class FakePeers:
    """Links to them."""

    def __init__(self) -> None:
        self.out_of_reach: set[str] = set()

    async def is_reachable(self, host_id: str) -> bool:
        return host_id not in self.out_of_reach


class Cut:
    """A host with two lookup endpoints, both in other failure domains."""

    def __init__(self) -> None:
        service = Service(id="look", kind=ServiceKind.PLAIN)
        endpoints = [
            Endpoint(
                id=name,
                service="look",
                url=f"http://10.0.0.{number}:1",
                failure_domain="tigre",
                max_streams=6,
            )
            for number, name in enumerate(("e1", "e2"), start=1)
        ]
        self.engines = {name: FakeEngine() for name in ("e1", "e2")}
        self.clock = ManualClock()
        self.catalog = make_catalog([service], endpoints)
        self.fleet = Fleet(
            catalog=self.catalog,
            clock=self.clock,
            connect=lambda endpoint: self.engines[endpoint.id],
        )
        self.roster, self.peers = FakeRoster(), FakePeers()
        self.told: list[bool] = []
        self.has_platform = True
        self.isolation = Isolation(
            fleet=self.fleet,
            peers=self.peers,
            roster=self.roster,
            clock=self.clock,
            services=lambda: ["look"],
            has_platform=lambda: self.has_platform,
            changed=self.told.append,
        )

    def check(self) -> bool:
        asyncio.run(self.isolation.check())
        return self.isolation.is_isolated


@pytest.fixture
def cut() -> Cut:
    """Return a host that is cut off from all that it needs."""
    made = Cut()
    made.peers.out_of_reach = {"far-1", "far-2"}
    return made


class TestIsolation:
    def test_a_host_cut_off_from_a_whole_service_is_isolated(self, cut):
        assert cut.check()
        assert cut.told == [True]

    @pytest.mark.parametrize("left", ["e1", "e2"])
    def test_one_that_has_an_endpoint_left_is_not(self, cut, left):
        cut.engines[left].is_there = True
        assert not cut.check()

    def test_one_without_the_platform_is_isolated_whatever_it_has_left(self, cut):
        cut.engines["e1"].is_there = cut.engines["e2"].is_there = True
        cut.has_platform = False
        assert cut.check()
        cut.has_platform = True
        assert not cut.check()

    def test_the_platforms_outage_alone_isolates_nobody(self, cut):
        cut.peers.out_of_reach = set()
        cut.has_platform = False
        assert not cut.check()

    def test_one_that_hears_another_failure_domain_is_not(self, cut):
        cut.peers.out_of_reach = {"far-1"}
        assert not cut.check()

    def test_one_that_knows_no_other_failure_domain_is_not(self, cut):
        cut.roster.far = []
        assert not cut.check()

    def test_it_ends_when_an_endpoint_takes_connections_again(self, cut):
        cut.check()
        assert cut.check()
        cut.engines["e2"].is_there = True
        assert not cut.check()
        assert cut.told == [True, False]

    def test_it_ends_when_another_failure_domain_is_heard(self, cut):
        cut.check()
        cut.peers.out_of_reach = set()
        assert not cut.check()

    def test_a_service_without_endpoints_is_nobodys_to_serve(self, cut):
        for name in ("e1", "e2"):
            cut.catalog.drop_endpoint(name)
        assert not cut.check()

    def test_a_cut_that_gossip_forgets_goes_on(self, cut):
        cut.check()
        cut.roster.far = []
        assert cut.check()
