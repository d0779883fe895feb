"""Directives in the headers of endpoints' answers, and how each is read."""

from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passtally.clock import ManualClock
from passtally.endpoint_backoff import MAX_BACKOFF
from passtally.endpoint_directives import (
    MAX_LOGGED,
    Directive,
    EndpointDirectives,
    InvalidDirectiveLog,
)
from passtally.fleet import Fleet
from passtally.http_client import ResponseHead
from passtally.objects import EndpointStart
from passtally.platform import names
from passtally.platform.answer_directives import read_directives
from tests.fakes import make_catalog
from tests.odd_json import ODD_VALUES

#: Headers that endpoints send in their answers, from the platform's documentation.
DOCUMENTED_HEADERS = {
    b"x-request-id",
    b"x-response-stamp",
    b"x-not-executed",
    b"x-instance-id",
    b"x-weight-versions",
    b"server-limit",
    b"retry-after",
    b"server-leaving",
}
#: Headers that are only for callers, and are passed on unchanged.
PASSED_ON = {b"x-weight-versions"}
START = EndpointStart(endpoint_id="e")


def head_of(status: int = 200, **headers: str) -> ResponseHead:
    """Return the head of an answer with some headers."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    fields = [(name.encode(), value.encode()) for name, value in named.items()]
    return ResponseHead(status=status, headers=fields)


def invalid_limit(text: str) -> EndpointDirectives:
    """Return the directives of an answer with an invalid limit."""
    return EndpointDirectives(invalid_by_directive={Directive.LIMIT: text})


class TestOddValues:
    # Guards against an answer that is lost since a directive in its head is not read.
    @settings(deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(sorted(names.ENDPOINT_HEADERS)),
                st.binary() | st.sampled_from(ODD_VALUES),
            )
        ),
        st.sampled_from([200, 421, 503]),
    )
    def test_any_value_is_read_or_recorded_as_invalid(self, headers, status):
        head = ResponseHead(status=status, headers=headers)
        read_directives(head, endpoint_id="e")

    # Guards against 500 for each request to an endpoint that names such a limit: the
    # number of hosts that share it is computed from it.
    @pytest.mark.parametrize("text", ["1.7e308", "1e10", "inf", "nan", "-1"])
    def test_a_limit_out_of_range_is_invalid(self, text):
        head = head_of(Server_Limit=text)
        assert read_directives(head, endpoint_id="e") == invalid_limit(text)

    def test_a_back_off_of_any_length_is_read(self):
        head = head_of(503, Retry_After="1e300")
        assert read_directives(head, endpoint_id="e").backoff == MAX_BACKOFF


class TestHeaders:
    # Guards against a header that the platform documents and that no code reads.
    @pytest.mark.parametrize("name", sorted(DOCUMENTED_HEADERS))
    def test_each_documented_header_is_known_and_read(self, name):
        assert name in names.ENDPOINT_HEADERS
        constant = next(key for key, value in vars(names).items() if value == name)
        sources = Path(names.__file__).parent.glob("*.py")
        readers = [
            path.name
            for path in sources
            if f"names.{constant}" in path.read_text() and path.name != "names.py"
        ]
        assert readers or name in PASSED_ON

    def test_an_unknown_header_is_reported(self):
        head = head_of(Server_Mood="good", X_Request_Id="q", Date="today")
        directives = read_directives(head, endpoint_id="e", request_id=b"q")
        assert directives.unknown_headers == ("server-mood",)


class TestReadDirectives:
    def test_each_directive_is_read(self):
        head = head_of(Server_Limit="1.5", Server_Leaving="1")
        directives = read_directives(head, endpoint_id="e")
        assert directives == EndpointDirectives(limit=1.5, is_leaving=True)

    @pytest.mark.parametrize(
        ("word", "header", "told"),
        [
            (Directive.LIMIT, "Server_Limit", "many"),
            (Directive.LEAVING, "Server_Leaving", "0"),
            (Directive.LEAVING, "Server_Leaving", ""),
            (Directive.LEAVING, "Server_Leaving", "soon"),
            (Directive.RETRY_AFTER, "Retry_After", "-1"),
            (Directive.RETRY_AFTER, "Retry_After", "soon"),
            (Directive.RETRY_AFTER, "Retry_After", "inf"),
            (Directive.RETRY_AFTER, "Retry_After", "Thu, 03 Dec 2026 12:00:00 GMT"),
        ],
    )
    def test_an_invalid_directive_is_reported_and_ignored(self, word, header, told):
        directives = read_directives(
            head_of(status=503, **{header: told}), endpoint_id="e"
        )
        assert directives == EndpointDirectives(invalid_by_directive={word: told})

    @pytest.mark.parametrize(
        ("told", "seconds"), [("3", 3), ("0.4", 0.4), ("0", 0), ("1e12", 3600)]
    )
    def test_a_backoff_is_read_in_seconds_and_bounded(self, told, seconds):
        directives = read_directives(
            head_of(status=503, Retry_After=told), endpoint_id="e"
        )
        assert directives == EndpointDirectives(backoff=timedelta(seconds=seconds))

    def test_a_backoff_is_read_only_with_status_503(self):
        directives = read_directives(
            head_of(status=500, Retry_After="3"), endpoint_id="e"
        )
        assert directives == EndpointDirectives()

    @pytest.mark.parametrize(
        "head",
        [
            head_of(status=421, Server_Leaving="1"),
            head_of(X_Instance_Id="another", Server_Leaving="1"),
            head_of(X_Request_Id="earlier", Server_Limit="1"),
        ],
        ids=["address reused", "another's name", "surplus"],
    )
    def test_the_answer_of_another_endpoint_or_request_is_ignored(self, head):
        assert read_directives(head, endpoint_id="e", request_id=b"q") is None


class TestInvalidDirectiveLog:
    @pytest.fixture
    def lines(self, monkeypatch) -> list[str]:
        """Return the endpoint of each logged line."""
        lines: list[str] = []

        def log(kind: str, sentence: str, *, peer: str, **fields: object) -> None:
            lines.append(peer)

        monkeypatch.setattr("passtally.endpoint_directives.log_event", log)
        return lines

    def test_repeated_invalid_directives_are_logged_once(self, lines: list[str]):
        invalid_log = InvalidDirectiveLog()
        for _ in range(3):
            invalid_log.record("e", invalid_limit("many"))
        invalid_log.record("e", invalid_limit("more"))
        assert lines == ["e", "e"]

    def test_the_number_of_remembered_endpoints_is_bounded(self, lines: list[str]):
        invalid_log = InvalidDirectiveLog()
        for number in range(3 * MAX_LOGGED):
            invalid_log.record(f"e{number}", invalid_limit("many"))
        assert len(invalid_log._invalid_by_endpoint) <= MAX_LOGGED

    def test_an_invalid_limit_leaves_the_known_limit_unchanged(self, lines: list[str]):
        clock = ManualClock()
        fleet = Fleet(
            catalog=make_catalog([]), clock=clock, connect=lambda endpoint: None
        )
        fleet.send_limits.record_directives(
            START, EndpointDirectives(limit=2.0), sent_at=clock.monotonic()
        )
        later = clock.monotonic() + timedelta(seconds=1)
        fleet.send_limits.record_directives(START, invalid_limit("many"), sent_at=later)
        assert not fleet.send_limits.requests.has_capacity(START, now=clock.monotonic())
