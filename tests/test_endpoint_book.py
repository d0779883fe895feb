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
