"""Endpoints that register themselves: lapsed entries, reused addresses."""

from datetime import timedelta

import pytest

from passtally.catalog import Catalog
from passtally.clock import ManualClock
from passtally.endpoint_book import SETTLE, EndpointBook
from passtally.objects import Endpoint, EndpointState, Service, ServiceKind


class Book:
    """A book, its catalog and its clock."""

    def __init__(self) -> None:
        self.catalog = Catalog()
        self.catalog.put_service(Service(id="s", kind=ServiceKind.MODEL))
        self.clock = ManualClock()
        self.gone: list[str] = []
        self.book = EndpointBook(
            catalog=self.catalog, clock=self.clock, gone=self.gone.append
        )

    def put(self, name: str, *, port: int = 1, **fields) -> None:
        self.book.put(
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
def book() -> Book:
    book = Book()
    book.put("a", port=1)
    book.put("b", port=2)
    return book


class TestRemoval:
    def test_in_calm_times_a_removed_entry_is_gone_at_once(self, book):
        book.book.remove(["a"])
        assert book.ids == {"b"}
        assert book.gone == ["a"]

    def test_an_entry_that_lapsed_in_an_outage_is_kept(self, book):
        book.book.note_reach(False)
        book.book.remove(["a"])
        book.book.note_reach(True)
        book.book.settle()
        assert book.ids == {"a", "b"}

    def test_one_that_is_still_missing_later_is_gone(self, book):
        book.book.note_reach(False)
        book.book.note_reach(True)
        book.book.remove(["a"])
        book.clock.advance(SETTLE + timedelta(milliseconds=1))
        book.book.settle()
        assert book.ids == {"b"}

    def test_one_that_came_back_stays(self, book):
        book.book.note_reach(False)
        book.book.note_reach(True)
        book.book.remove(["a"])
        book.put("a", port=1)
        book.clock.advance(SETTLE * 2)
        book.book.settle()
        assert book.ids == {"a", "b"}

    def test_a_draining_entry_that_goes_is_gone_also_after_an_outage(self, book):
        book.put("a", port=1, state=EndpointState.DRAINING)
        book.book.note_reach(False)
        book.book.note_reach(True)
        book.book.remove(["a"])
        assert book.ids == {"b"}

    def test_the_first_contact_is_no_outage(self, book):
        book.book.note_reach(True)
        book.book.remove(["a"])
        assert book.ids == {"b"}

    def test_an_unknown_entry_is_removed_without_harm(self, book):
        book.book.remove(["z"])
        assert book.gone == []


class TestAddresses:
    def test_a_new_endpoint_ends_the_one_that_had_its_address(self, book):
        book.put("c", port=1)
        assert book.ids == {"b", "c"}
        assert book.gone == ["a"]


class TestOlderCopy:
    """The platform came back from a copy from before b had its address."""

    @pytest.fixture
    def returned(self, book) -> Book:
        book.book.note_era(1)
        book.book.note_era(2)
        return book

    def test_an_endpoint_that_a_later_one_has_replaced_is_not_used(self, returned):
        returned.put("before-b", port=2)
        assert returned.ids == {"a", "b"}
        returned.clock.advance(SETTLE)
        returned.book.settle()
        assert returned.ids == {"a", "b"}

    def test_it_is_used_once_the_later_one_is_gone(self, returned):
        returned.put("after-b", port=2)
        returned.clock.advance(SETTLE)
        returned.book.remove(["b"])
        assert returned.ids == {"a", "after-b"}

    def test_not_where_its_own_entry_has_gone_or_another_has_come(self, returned):
        returned.put("before-a", port=1)
        returned.put("before-b", port=2)
        returned.book.remove(["before-a"])
        returned.clock.advance(SETTLE)
        returned.put("after-b", port=2)
        returned.book.remove(["a"])
        assert returned.ids == {"after-b"}

    def test_one_that_the_copy_lacks_is_kept_for_a_while(self, returned):
        returned.book.remove(["a"])
        assert returned.ids == {"a", "b"}
        returned.clock.advance(SETTLE)
        returned.book.settle()
        assert returned.ids == {"b"}

    def test_one_that_leaves_is_not_brought_back(self, returned):
        returned.put("a", port=1, state=EndpointState.DRAINING)
        returned.put("a", port=1)
        assert returned.catalog.endpoints_by_id["a"].state is EndpointState.DRAINING
