"""Endpoints that register themselves: lapsed entries, reused addresses."""

from datetime import timedelta

import pytest

from passtally.catalog import Catalog
from passtally.clock import ManualClock
from passtally.endpoint_registry import MISSING_ENTRY_GRACE, EndpointRegistry
from passtally.objects import Endpoint, EndpointState, Service, ServiceKind


class Book:
    """A book, its catalog and its clock."""

    def __init__(self) -> None:
        self.catalog = Catalog()
        self.catalog.put_service(Service(id="s", kind=ServiceKind.MODEL))
        self.clock = ManualClock()
        self.gone: list[str] = []
        self.registry = EndpointRegistry(
            catalog=self.catalog, clock=self.clock, gone=self.gone.append
        )

    def put(self, name: str, *, port: int = 1, **fields) -> None:
        self.registry.put(
            Endpoint(
                id=name,
                service="s",
                url=f"http://127.0.0.1:{port}",
                failure_domain="pilar",
                **fields,
            )
        )

    @property
    def ids(self) -> set[str]:
        return set(self.catalog.endpoints_by_id)


@pytest.fixture
def registry() -> Book:
    registry = Book()
    registry.put("a", port=1)
    registry.put("b", port=2)
    return registry


class TestRemoval:
    def test_in_calm_times_a_removed_entry_is_gone_at_once(self, registry):
        registry.registry.remove(["a"])
        assert registry.ids == {"b"}
        assert registry.gone == ["a"]

    def test_an_entry_that_lapsed_in_an_outage_is_kept(self, registry):
        registry.registry.record_reachability(False)
        registry.registry.remove(["a"])
        registry.registry.record_reachability(True)
        registry.registry.settle()
        assert registry.ids == {"a", "b"}

    def test_one_that_is_still_missing_later_is_gone(self, registry):
        registry.registry.record_reachability(False)
        registry.registry.record_reachability(True)
        registry.registry.remove(["a"])
        registry.clock.advance(MISSING_ENTRY_GRACE + timedelta(milliseconds=1))
        registry.registry.settle()
        assert registry.ids == {"b"}

    def test_one_that_came_back_stays(self, registry):
        registry.registry.record_reachability(False)
        registry.registry.record_reachability(True)
        registry.registry.remove(["a"])
        registry.put("a", port=1)
        registry.clock.advance(MISSING_ENTRY_GRACE * 2)
        registry.registry.settle()
        assert registry.ids == {"a", "b"}

    def test_a_draining_entry_that_goes_is_gone_also_after_an_outage(self, registry):
        registry.put("a", port=1, state=EndpointState.DRAINING)
        registry.registry.record_reachability(False)
        registry.registry.record_reachability(True)
        registry.registry.remove(["a"])
        assert registry.ids == {"b"}

    def test_the_first_contact_is_no_outage(self, registry):
        registry.registry.record_reachability(True)
        registry.registry.remove(["a"])
        assert registry.ids == {"b"}

    def test_an_unknown_entry_is_removed_without_harm(self, registry):
        registry.registry.remove(["z"])
        assert registry.gone == []


class TestAddresses:
    def test_a_new_endpoint_ends_the_one_that_had_its_address(self, registry):
        registry.put("c", port=1)
        assert registry.ids == {"b", "c"}
        assert registry.gone == ["a"]


class TestOlderCopy:
    """The platform came back from a copy from before b had its address."""

    @pytest.fixture
    def returned(self, registry) -> Book:
        registry.registry.record_era(1)
        registry.registry.record_era(2)
        return registry

    def test_an_endpoint_that_a_later_one_has_replaced_is_not_used(self, returned):
        returned.put("before-b", port=2)
        assert returned.ids == {"a", "b"}
        returned.clock.advance(MISSING_ENTRY_GRACE)
        returned.registry.settle()
        assert returned.ids == {"a", "b"}

    def test_it_is_used_once_the_later_one_is_gone(self, returned):
        returned.put("after-b", port=2)
        returned.clock.advance(MISSING_ENTRY_GRACE)
        returned.registry.remove(["b"])
        assert returned.ids == {"a", "after-b"}

    def test_not_where_its_own_entry_has_gone_or_another_has_come(self, returned):
        returned.put("before-a", port=1)
        returned.put("before-b", port=2)
        returned.registry.remove(["before-a"])
        returned.clock.advance(MISSING_ENTRY_GRACE)
        returned.put("after-b", port=2)
        returned.registry.remove(["a"])
        assert returned.ids == {"after-b"}

    def test_one_that_the_copy_lacks_is_kept_for_a_while(self, returned):
        returned.registry.remove(["a"])
        assert returned.ids == {"a", "b"}
        returned.clock.advance(MISSING_ENTRY_GRACE)
        returned.registry.settle()
        assert returned.ids == {"b"}

    def test_one_that_leaves_is_not_brought_back(self, returned):
        returned.put("a", port=1, state=EndpointState.DRAINING)
        returned.put("a", port=1)
        assert returned.catalog.endpoints_by_id["a"].state is EndpointState.DRAINING
