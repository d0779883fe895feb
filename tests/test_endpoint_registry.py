"""The endpoint registry: lapsed entries, reused addresses, restored copies."""

from datetime import timedelta

import pytest

from passtally.catalog import Catalog
from passtally.clock import ManualClock
from passtally.endpoint_registry import MISSING_ENTRY_GRACE, EndpointRegistry
from passtally.objects import Endpoint, EndpointState, Service, ServiceKind
from passtally.store_order import version_of


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


class TestOrderOfEntries:
    """Entries of exited endpoints stay for some seconds beside those of later ones."""

    # Guards against a host that lists both entries when it starts, in the order of
    # their names, and drops the endpoint that runs for the one that has exited.
    @pytest.mark.parametrize("is_first", [True, False])
    @pytest.mark.parametrize("key", ["created_version", "incarnation"])
    def test_the_later_of_two_listed_endpoints_is_used(self, harness, key, is_first):
        entries = [("exited", 5), ("running", 9)]
        for name, order in entries if is_first else reversed(entries):
            harness.put(name, port=3, **{key: order})
        assert harness.ids == {"a", "b", "running"}
        harness.registry.remove(["exited"])
        assert harness.ids == {"a", "b", "running"}

    # Guards against an endpoint that stays unknown for good: an entry whose check-ins
    # are the only changes is not reported again.
    def test_an_endpoint_that_was_dropped_in_vain_returns(self, harness):
        harness.put("running", port=3)
        harness.put("exited", port=3)
        assert harness.ids == {"a", "b", "exited"}
        harness.registry.remove(["exited"])
        assert harness.ids == {"a", "b", "running"}
        assert harness.on_removed == ["running", "exited"]

    # Guards against an endpoint that waits for the entry of an exited one to lapse,
    # although it has answered at the address.
    def test_an_endpoint_that_answers_at_its_address_returns_at_once(self, harness):
        harness.put("running", port=3)
        harness.put("exited", port=3)
        assert harness.registry.use_set_aside("running")
        assert harness.ids == {"a", "b", "running"}
        assert not harness.registry.use_set_aside("running")
        assert not harness.registry.use_set_aside("unknown")

    def test_an_endpoint_whose_entry_was_removed_does_not_return(self, harness):
        harness.put("first", port=3, created_version=1)
        harness.put("second", port=3, created_version=2)
        harness.registry.remove(["first"])
        harness.registry.remove(["second"])
        assert harness.ids == {"a", "b"}

    # Guards against an endpoint that is dropped for the exited one before it, whose
    # entry changes or is read late.
    def test_a_change_of_an_earlier_entry_displaces_no_later_one(self, harness):
        harness.put("first", port=3, created_version=1)
        harness.put("second", port=3, created_version=2)
        harness.put("first", port=3, created_version=1, state=EndpointState.DRAINING)
        assert harness.ids == {"a", "b", "second"}
        harness.registry.remove(["second"])
        returned = harness.catalog.endpoints_by_id["first"]
        assert returned.state is EndpointState.DRAINING

    # Guards against requests to an endpoint whose entry can't be read.
    def test_an_unreadable_entry_that_was_set_aside_gets_no_requests(self, harness):
        harness.put("first", port=3, created_version=1)
        harness.put("second", port=3, created_version=2)
        harness.registry.put_unreadable("first", reason="test")
        harness.registry.remove(["second"])
        returned = harness.catalog.endpoints_by_id["first"]
        assert returned.state is EndpointState.DRAINING

    # Guards against entries that are compared by versions of a store that counts anew
    # after it was restored from an older copy.
    def test_versions_of_different_eras_are_not_compared(self, harness):
        harness.put("first", port=3, created_version=version_of(1, 9))
        harness.put("second", port=3, created_version=version_of(0, 50), incarnation=7)
        assert harness.ids == {"a", "b", "second"}
        harness.put("third", port=3, created_version=version_of(1, 5), incarnation=8)
        assert harness.ids == {"a", "b", "third"}

    # Guards against the order that is lost with a change which another host forwards.
    def test_a_change_without_the_order_keeps_it(self, harness):
        harness.put("second", port=3, created_version=2)
        harness.put("second", port=3, state=EndpointState.DRAINING)
        harness.put("first", port=3, created_version=1)
        assert harness.ids == {"a", "b", "second"}


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
