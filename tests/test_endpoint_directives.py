"""What answers say of their endpoints: read in one place, on every path."""

from datetime import timedelta
from pathlib import Path

import pytest

from passtally.clock import ManualClock
from passtally.endpoint_directives import (
    MAX_KEPT,
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

#: What the platform's pages name that endpoints say in the heads of their answers.
SAID_ON_THE_PAGES = {
    b"x-request-id",
    b"x-response-stamp",
    b"x-not-executed",
    b"x-instance-id",
    b"x-weight-versions",
    b"server-limit",
    b"retry-after",
    b"server-leaving",
}
#: What is only for callers, and handed to them as it is.
PASSED_ON = {b"x-weight-versions"}
START = EndpointStart(endpoint_id="e")


def head_of(status: int = 200, **headers: str) -> ResponseHead:
    """Return the head of an answer."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    fields = [(name.encode(), value.encode()) for name, value in named.items()]
    return ResponseHead(status=status, headers=fields)


def odd_limit(told: str) -> EndpointDirectives:
    """Return what an answer says that names what is no limit."""
    return EndpointDirectives(invalid_by_directive={Directive.LIMIT: told})


class TestHeaders:
    # Guards against a word of endpoints that the platform names and nobody reads.
    @pytest.mark.parametrize("name", sorted(SAID_ON_THE_PAGES))
    def test_each_that_endpoints_may_send_is_known_and_read(self, name):
        assert name in names.SAID_BY_ENDPOINTS
        constant = next(key for key, value in vars(names).items() if value == name)
        sources = Path(names.__file__).parent.glob("*.py")
        readers = [
            path.name
            for path in sources
            if f"names.{constant}" in path.read_text() and path.name != "names.py"
        ]
        assert readers or name in PASSED_ON

    def test_one_that_nobody_knows_is_told(self):
        head = head_of(Server_Mood="good", X_Request_Id="q", Date="today")
        words = read_directives(head, endpoint_id="e", request_id=b"q")
        assert words.unread == ("server-mood",)


class TestReadWords:
    def test_each_word_is_read(self):
        head = head_of(Server_Limit="1.5", Server_Leaving="1")
        words = read_directives(head, endpoint_id="e")
        assert words == EndpointDirectives(limit=1.5, is_leaving=True)

    @pytest.mark.parametrize(
        ("word", "header", "told"),
        [
            (Directive.LIMIT, "Server_Limit", "many"),
            (Directive.LEAVING, "Server_Leaving", "0"),
            (Directive.LEAVING, "Server_Leaving", ""),
            (Directive.LEAVING, "Server_Leaving", "soon"),
            (Directive.REST, "Retry_After", "-1"),
            (Directive.REST, "Retry_After", "soon"),
            (Directive.REST, "Retry_After", "inf"),
            (Directive.REST, "Retry_After", "Thu, 03 Dec 2026 12:00:00 GMT"),
        ],
    )
    def test_what_can_t_be_read_is_told_apart(self, word, header, told):
        words = read_directives(head_of(status=503, **{header: told}), endpoint_id="e")
        assert words == EndpointDirectives(invalid_by_directive={word: told})

    @pytest.mark.parametrize(
        ("told", "seconds"), [("3", 3), ("0.4", 0.4), ("0", 0), ("1e12", 3600)]
    )
    def test_rest_is_asked_for_in_seconds_and_parts_of_them(self, told, seconds):
        words = read_directives(head_of(status=503, Retry_After=told), endpoint_id="e")
        assert words == EndpointDirectives(rest=timedelta(seconds=seconds))

    def test_only_who_turns_a_request_away_asks_for_rest(self):
        words = read_directives(head_of(status=500, Retry_After="3"), endpoint_id="e")
        assert words == EndpointDirectives()

    @pytest.mark.parametrize(
        "head",
        [
            head_of(status=421, Server_Leaving="1"),
            head_of(X_Instance_Id="another", Server_Leaving="1"),
            head_of(X_Request_Id="earlier", Server_Limit="1"),
        ],
        ids=["address reused", "another's name", "surplus"],
    )
    def test_the_word_of_another_says_nothing(self, head):
        assert read_directives(head, endpoint_id="e", request_id=b"q") is None


class TestOddWords:
    @pytest.fixture
    def lines(self, monkeypatch) -> list[str]:
        """Return the endpoints of which a line is logged."""
        lines: list[str] = []

        def log(kind: str, sentence: str, *, peer: str, **fields: object) -> None:
            lines.append(peer)

        monkeypatch.setattr("passtally.endpoint_directives.log_event", log)
        return lines

    def test_each_is_logged_once(self, lines: list[str]):
        odd = InvalidDirectiveLog()
        for _ in range(3):
            odd.note("e", odd_limit("many"))
        odd.note("e", odd_limit("more"))
        assert lines == ["e", "e"]

    def test_few_are_kept(self, lines: list[str]):
        odd = InvalidDirectiveLog()
        for number in range(3 * MAX_KEPT):
            odd.note(f"e{number}", odd_limit("many"))
        assert len(odd._invalid_by_endpoint) <= MAX_KEPT

    def test_they_change_nothing(self, lines: list[str]):
        clock = ManualClock()
        fleet = Fleet(
            catalog=make_catalog([]), clock=clock, connect=lambda endpoint: None
        )
        fleet.record_directives(
            START, EndpointDirectives(limit=2.0), sent_at=clock.monotonic()
        )
        later = clock.monotonic() + timedelta(seconds=1)
        fleet.record_directives(START, odd_limit("many"), sent_at=later)
        assert not fleet.limits.has_capacity(START, now=clock.monotonic())
