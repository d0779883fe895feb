"""Detection of a host that is cut off and should get no new callers."""

import asyncio

import pytest

from passtally.clock import ManualClock
from passtally.fleet import Fleet
from passtally.isolation import Isolation
from passtally.objects import Endpoint, Service, ServiceKind
from passtally.reach_check import ReachCheck
from tests.fakes import make_catalog


class FakeEngine:
    """An endpoint that is reachable or not."""

    def __init__(self) -> None:
        self.accepts = False

    async def is_reachable(self) -> bool:
        return self.accepts


class FakeRoster:
    """A roster with two hosts of other failure domains."""

    failure_domain = "pilar"

    def __init__(self) -> None:
        self.far = ["far-1", "far-2"]

    def remote_ids(self) -> list[str]:
        return self.far


class FakePeers:
    """The links to these hosts."""

    def __init__(self) -> None:
        self.unreachable: set[str] = set()

    async def is_reachable(self, host_id: str) -> bool:
        return host_id not in self.unreachable


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
        self.changes: list[bool] = []
        self.has_platform = True
        self.isolation = Isolation(
            reach=ReachCheck(catalog=self.catalog, fleet=self.fleet),
            peers=self.peers,
            roster=self.roster,
            clock=self.clock,
            services=lambda: ["look"],
            has_platform=lambda: self.has_platform,
            changed=self.changes.append,
        )

    def check(self) -> bool:
        asyncio.run(self.isolation.check())
        return self.isolation.is_isolated


@pytest.fixture
def cut() -> Cut:
    """Return a host that reaches no other domain and no endpoint."""
    made = Cut()
    made.peers.unreachable = {"far-1", "far-2"}
    return made


class TestIsolation:
    def test_a_host_cut_off_from_a_whole_service_is_isolated(self, cut):
        assert cut.check()
        assert cut.changes == [True]

    @pytest.mark.parametrize("left", ["e1", "e2"])
    def test_a_host_with_a_reachable_endpoint_is_not_isolated(self, cut, left):
        cut.engines[left].accepts = True
        assert not cut.check()

    def test_a_host_without_the_platform_is_isolated_despite_endpoints(self, cut):
        cut.engines["e1"].accepts = cut.engines["e2"].accepts = True
        cut.has_platform = False
        assert cut.check()
        cut.has_platform = True
        assert not cut.check()

    def test_an_outage_of_the_platform_alone_isolates_no_host(self, cut):
        cut.peers.unreachable = set()
        cut.has_platform = False
        assert not cut.check()

    def test_a_host_that_reaches_another_failure_domain_is_not_isolated(self, cut):
        cut.peers.unreachable = {"far-1"}
        assert not cut.check()

    def test_a_host_that_knows_no_other_failure_domain_is_not_isolated(self, cut):
        cut.roster.far = []
        assert not cut.check()

    def test_isolation_ends_when_an_endpoint_becomes_reachable(self, cut):
        cut.check()
        assert cut.check()
        cut.engines["e2"].accepts = True
        assert not cut.check()
        assert cut.changes == [True, False]

    def test_isolation_ends_when_another_failure_domain_becomes_reachable(self, cut):
        cut.check()
        cut.peers.unreachable = set()
        assert not cut.check()

    def test_a_service_without_endpoints_isolates_no_host(self, cut):
        for name in ("e1", "e2"):
            cut.catalog.drop_endpoint(name)
        assert not cut.check()

    def test_isolation_continues_after_gossip_removes_the_other_hosts(self, cut):
        cut.check()
        cut.roster.far = []
        assert cut.check()
