"""The endpoint registry: lapsed entries, reused addresses, restored copies."""

from datetime import timedelta

import pytest

from passtally.catalog import Catalog
from passtally.clock import ManualClock
from passtally.endpoint_registry import MISSING_ENTRY_GRACE, EndpointRegistry
from passtally.objects import Endpoint, EndpointState, Service, ServiceKind


class Harness:
    """A registry with its catalog and clock."""

    def __init__(self) -> None:
        self.catalog = Catalog()
        self.catalog.put_service(Service(id="s", kind=ServiceKind.MODEL))
        self.clock = ManualClock()
        self.on_removed: list[str] = []
        self.registry = EndpointRegistry(
            catalog=self.catalog, clock=self.clock, on_removed=self.on_removed.append
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
def harness() -> Harness:
    harness = Harness()
    harness.put("a", port=1)
    harness.put("b", port=2)
    return harness


class TestRemoval:
    def test_without_an_outage_a_removed_entry_removes_its_endpoint_at_once(
        self, harness
    ):
        harness.registry.remove(["a"])
        assert harness.ids == {"b"}
        assert harness.on_removed == ["a"]

    def test_an_endpoint_whose_entry_lapsed_in_an_outage_is_kept(self, harness):
        harness.registry.record_reachability(False)
        harness.registry.remove(["a"])
        harness.registry.record_reachability(True)
        harness.registry.drop_missing()
        assert harness.ids == {"a", "b"}

    def test_an_endpoint_without_an_entry_is_removed_after_the_grace_period(
        self, harness
    ):
        harness.registry.record_reachability(False)
        harness.registry.record_reachability(True)
        harness.registry.remove(["a"])
        harness.clock.advance(MISSING_ENTRY_GRACE + timedelta(milliseconds=1))
        harness.registry.drop_missing()
        assert harness.ids == {"b"}

    def test_an_endpoint_whose_entry_reappears_is_kept(self, harness):
        harness.registry.record_reachability(False)
        harness.registry.record_reachability(True)
        harness.registry.remove(["a"])
        harness.put("a", port=1)
        harness.clock.advance(MISSING_ENTRY_GRACE * 2)
        harness.registry.drop_missing()
        assert harness.ids == {"a", "b"}

    def test_a_draining_endpoint_is_removed_at_once_after_an_outage(self, harness):
        harness.put("a", port=1, state=EndpointState.DRAINING)
        harness.registry.record_reachability(False)
        harness.registry.record_reachability(True)
        harness.registry.remove(["a"])
        assert harness.ids == {"b"}

    def test_the_first_contact_starts_no_grace_period(self, harness):
        harness.registry.record_reachability(True)
        harness.registry.remove(["a"])
        assert harness.ids == {"b"}

    def test_the_removal_of_an_unknown_entry_is_ignored(self, harness):
        harness.registry.remove(["z"])
        assert harness.on_removed == []


class TestAddresses:
    def test_a_new_endpoint_replaces_the_one_that_had_its_address(self, harness):
        harness.put("c", port=1)
        assert harness.ids == {"b", "c"}
        assert harness.on_removed == ["a"]


class TestOlderCopy:
    """The platform was restored from a copy that is older than the entry of b."""

    @pytest.fixture
    def returned(self, harness) -> Harness:
        harness.registry.record_era(1)
        harness.registry.record_era(2)
        return harness

    def test_a_restored_entry_whose_address_is_in_use_is_not_applied(self, returned):
        returned.put("before-b", port=2)
        assert returned.ids == {"a", "b"}
        returned.clock.advance(MISSING_ENTRY_GRACE)
        returned.registry.drop_missing()
        assert returned.ids == {"a", "b"}

    def test_it_is_applied_once_the_endpoint_with_its_address_is_removed(
        self, returned
    ):
        returned.put("after-b", port=2)
        returned.clock.advance(MISSING_ENTRY_GRACE)
        returned.registry.remove(["b"])
        assert returned.ids == {"a", "after-b"}

    def test_it_is_not_applied_after_its_removal_or_replacement(self, returned):
        returned.put("before-a", port=1)
        returned.put("before-b", port=2)
        returned.registry.remove(["before-a"])
        returned.clock.advance(MISSING_ENTRY_GRACE)
        returned.put("after-b", port=2)
        returned.registry.remove(["a"])
        assert returned.ids == {"after-b"}

    @pytest.mark.parametrize("names", [("first", "third"), ("third", "first")])
    def test_of_several_entries_for_its_address_the_latest_start_is_applied(
        self, returned, names
    ):
        # The first one that was applied removed the others from the waiting ones, which
        # raised a KeyError, and an entry of the copy displaced the one in use.
        incarnations_by_name = {"first": 1, "third": 3}
        returned.put("second", port=3, incarnation=2)
        returned.registry.record_era(3)
        for name in names:
            returned.put(name, port=3, incarnation=incarnations_by_name[name])
        returned.registry.remove(["second"])
        assert returned.ids == {"a", "b", "second"}
        returned.clock.advance(MISSING_ENTRY_GRACE)
        returned.registry.drop_missing()
        assert returned.ids == {"a", "b", "third"}

    def test_of_entries_that_tell_no_start_the_last_one_is_applied(self, returned):
        # A waiting entry that was put again kept its place before later ones.
        for name in ("first", "third", "first"):
            returned.put(name, port=2)
        returned.clock.advance(MISSING_ENTRY_GRACE)
        returned.registry.remove(["b"])
        assert returned.ids == {"a", "first"}

    def test_an_endpoint_that_the_copy_lacks_is_kept_for_the_grace_period(
        self, returned
    ):
        returned.registry.remove(["a"])
        assert returned.ids == {"a", "b"}
        returned.clock.advance(MISSING_ENTRY_GRACE)
        returned.registry.drop_missing()
        assert returned.ids == {"b"}

    def test_an_older_entry_does_not_undo_a_departure(self, returned):
        returned.put("a", port=1, state=EndpointState.DRAINING)
        returned.put("a", port=1)
        assert returned.catalog.endpoints_by_id["a"].state is EndpointState.DRAINING
