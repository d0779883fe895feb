"""What callers and endpoints saw during a run, and the promises it broke."""

import time
from collections import Counter

import attrs

from soak.ends import End
from standins.runner import PROOF

#: Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: How long the users let a change or a draining endpoint take effect, and a margin for
#: this machine, in seconds.
APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
MARGIN_SECONDS = 1.0
#: A host that closes a connection so long after a request came has read the request,
#: by the users' rules, and owes it an answer.
LOSS_SLACK_SECONDS = 0.2
#: For so long after a fault its effects may still show.
CALM_SECONDS = 4.0


@attrs.frozen(kw_only=True)
class Seen:
    """How one try of a caller ended.

    Attributes:
        id: Its id.
        kind: ``stream``, ``call`` or ``booking``.
        host: The host that it was sent to.
        sent_at: When, on the monotonic clock, in seconds.
        ended_at: When it ended.
        status: The status, 0 where no whole head came.
        is_whole: Whether the answer looked complete.
        problem: What was wrong with its content, or empty.
        left: Whether the caller itself left.
    """

    id: str
    kind: str
    host: str
    sent_at: float
    ended_at: float
    status: int
    is_whole: bool
    problem: str = ""
    left: bool = False


@attrs.frozen(kw_only=True)
class Asked:
    """How one request ended, with all its tries.

    Attributes:
        tries: Its tries, at least one.
        is_served: Whether a try was served.
    """

    tries: tuple[Seen, ...]
    is_served: bool


@attrs.frozen(kw_only=True)
class Trouble:
    """One fault, for as long as it lasted.

    Attributes:
        kind: Its name.
        target: What it hit; a host's name where it hit a host.
        began_at: When, on the monotonic clock, in seconds.
        ended_at: When it ended.
        is_planned: Whether it is planned work, which must cut nothing.
    """

    kind: str
    target: str
    began_at: float
    ended_at: float
    is_planned: bool = False

    def is_felt(self, since: float, until: float) -> bool:
        """Whether it went on, or its effects may have shown, in a stretch of time."""
        return self.began_at < until and self.ended_at + CALM_SECONDS > since


@attrs.define(kw_only=True)
class Evidence:
    """All that was seen in one run.

    Attributes:
        tries: The callers' tries.
        asked: The callers' requests; each has some of the tries.
        arrivals: When each request id reached which endpoint.
        ran: How often each request id ran, over all endpoints.
        troubles: The faults.
        draining_since: When the platform took that an endpoint drains.
        versions_by_life: The configuration versions read from each process.
        ends: How the processes of hosts ended.
        violations: What promises were broken.
    """

    tries: list[Seen] = attrs.field(factory=list)
    asked: list[Asked] = attrs.field(factory=list)
    arrivals: list[tuple[float, str, str]] = attrs.field(factory=list)
    ran: Counter[str] = attrs.field(factory=Counter)
    troubles: list[Trouble] = attrs.field(factory=list)
    draining_since: dict[str, float] = attrs.field(factory=dict)
    versions_by_life: dict[str, list[int]] = attrs.field(factory=dict)
    ends: list[End] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)

    def report(self, text: str) -> None:
        """Note a broken promise."""
        self.violations.append(text)

    def judge(self) -> list[str]:
        """Judge the whole run and return the broken promises."""
        for seen in self.tries:
            self._judge_try(seen)
            self._judge_answered(seen)
        for life, versions in self.versions_by_life.items():
            if versions != sorted(versions):
                self.report(f"{life}: the configuration went back: {versions}")
        for end in self.ends:
            if not end.is_allowed:
                self.report(end.describe())
        for asked in self.asked:
            self._judge_served(asked)
        self._judge_drains()
        self._judge_stops()
        return self.violations

    def _judge_try(self, seen: Seen) -> None:
        runs = self.ran[seen.id]
        if seen.problem:
            self.report(f"{seen.kind} {seen.id} at {seen.host}: {seen.problem}")
        if seen.kind != "booking":
            return
        if runs > 1:
            self.report(f"booking {seen.id} at {seen.host} ran {runs} times")
        if seen.status in NOT_RUN_STATUSES and seen.is_whole and runs:
            self.report(f"booking {seen.id}: {seen.status}, but it ran")

    def _judge_served(self, asked: Asked) -> None:
        """Look for a request that was not served though nothing was wrong."""
        first, last = asked.tries[0], asked.tries[-1]
        if asked.is_served or last.left:
            return
        if self.is_quiet(asked):
            ends = ", ".join(f"{seen.host} {seen.status}" for seen in asked.tries)
            self.report(f"{first.kind} {first.id} not served in quiet: {ends}")

    def is_quiet(self, asked: Asked) -> bool:
        """Whether a request can have felt no fault."""
        since, until = asked.tries[0].sent_at, asked.tries[-1].ended_at
        return not any(trouble.is_felt(since, until) for trouble in self.troubles)

    def _judge_answered(self, seen: Seen) -> None:
        """Look for a host that was up and untroubled and did not answer at all."""
        if seen.status or seen.left:
            return
        if not self._was_up(seen.host, seen.sent_at):
            return
        if not any(
            trouble.target == seen.host and trouble.is_felt(seen.sent_at, seen.ended_at)
            for trouble in self.troubles
        ):
            took = seen.ended_at - seen.sent_at
            self.report(
                f"{seen.host} up, {seen.kind} {seen.id} unanswered after {took:.2f} s"
            )

    def _was_up(self, host: str, at: float) -> bool:
        """Whether a host had been up for long enough to answer."""
        return any(
            end.host == host
            and end.began_at + CALM_SECONDS <= at <= end.began_at + end.lasted
            for end in self.ends
        )

    def _judge_drains(self) -> None:
        """Look for work that reached an endpoint long after it began to drain."""
        for at, endpoint_id, request_id in self.arrivals:
            since = self.draining_since.get(endpoint_id)
            if since is None or at <= since + DRAIN_SECONDS + MARGIN_SECONDS:
                continue
            is_troubled = any(
                trouble.is_felt(since, at) and not trouble.is_planned
                for trouble in self.troubles
            )
            if not is_troubled:
                late = at - since
                self.report(f"{endpoint_id} got {request_id} {late:.1f} s after drain")

    def _judge_stops(self) -> None:
        """Look for requests that a planned stop cut, where nothing else went on."""
        for stop in self.troubles:
            if not stop.is_planned:
                continue
            others = (
                trouble
                for trouble in self.troubles
                if trouble is not stop and trouble.is_felt(stop.began_at, stop.ended_at)
            )
            if any(others):
                continue
            for seen in self.tries:
                overlaps = (
                    seen.sent_at < stop.ended_at and seen.ended_at > stop.began_at
                )
                if seen.host == stop.target and overlaps and self._is_cut(seen):
                    self.report(f"{stop.kind} of {stop.target} cut {seen.id}")

    def _is_cut(self, seen: Seen) -> bool:
        """Whether a host took a request and did not answer it to the end."""
        if seen.is_whole or seen.left:
            return False
        was_handed_on = any(seen.id == id for _, _, id in self.arrivals)
        waited = seen.ended_at - seen.sent_at > LOSS_SLACK_SECONDS
        return seen.status != 0 or was_handed_on or waited


def find_problem(kind: str, status: int, headers: dict[str, str], body: bytes) -> str:
    """Return what is wrong with a whole answer's content; empty for nothing.

    Args:
        kind: What was asked.
        status: The answer's status.
        headers: Its headers, with names in lower case.
        body: Its body.
    """
    if not 200 <= status < 300 or kind == "stream":
        return ""
    if headers.get("x-response-stamp") != PROOF:
        return "a success without proof"
    return "" if body.startswith(b"i-") else f"a body of nobody: {body[:40]!r}"


def now() -> float:
    """Return the monotonic time in seconds."""
    return time.monotonic()
