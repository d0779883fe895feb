"""The record of a run, and the checks of the promises to callers and operators."""

import time
from collections import Counter

import attrs

from soak.ends import ProcessExit
from soak.joined_streams import JoinedStreams, StreamTry
from standins.runner import PROOF

#: Statuses which promise that a request did not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Time in which a configuration change or the drain of an endpoint must take effect,
#: and a margin for scheduling delays of the test machine, in seconds.
APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
MARGIN_SECONDS = 1.0
#: Minimum time from a request to the close of its connection after which the host
#: counts as having read the request, and so must answer it, in seconds.
LOSS_SLACK_SECONDS = 0.2
#: Time after the end of a fault in which its effects may still show, in seconds.
FAULT_EFFECT_SECONDS = 4.0


@attrs.frozen(kw_only=True)
class TryOutcome:
    """One try of a caller's request, and its outcome.

    Attributes:
        id: The request id, unique to the try.
        kind: ``stream``, ``call`` or ``booking``.
        host: The host that it was sent to.
        sent_at: Time of sending on the monotonic clock, in seconds.
        ended_at: Time of its end.
        status: The status; 0 if no complete response head arrived.
        is_complete: Whether the answer arrived completely.
        problem: The problem of the answer's content; empty for none.
        caller_left: Whether the caller disconnected.
    """

    id: str
    kind: str
    host: str
    sent_at: float
    ended_at: float
    status: int
    is_complete: bool
    problem: str = ""
    caller_left: bool = False


@attrs.frozen(kw_only=True)
class RequestOutcome:
    """One request of a caller, and its outcome.

    Attributes:
        tries: Its tries in order, at least one.
        is_served: Whether its last try was answered successfully.
    """

    tries: tuple[TryOutcome, ...]
    is_served: bool


@attrs.frozen(kw_only=True)
class FaultRecord:
    """One injected fault and its duration.

    Attributes:
        kind: The name of its kind.
        target: The name of the host, or of the other part of the system, that it hit.
        began_at: Time of its start on the monotonic clock, in seconds.
        ended_at: Time of its end.
        is_planned: Whether it is a planned operation, which must not cut requests.
    """

    kind: str
    target: str
    began_at: float
    ended_at: float
    is_planned: bool = False

    def may_affect(self, since: float, until: float) -> bool:
        """Whether the fault or its effects may have overlapped a period."""
        return self.began_at < until and self.ended_at + FAULT_EFFECT_SECONDS > since


@attrs.define(kw_only=True)
class Evidence:
    """The record of one run.

    Attributes:
        tries: The callers' tries.
        requests: The callers' requests, which group the tries.
        arrivals: The time, endpoint and request id of each arrival at an endpoint.
        ran: The number of runs of each request id, over all endpoints.
        faults: The injected faults.
        draining_since: The time at which each drained endpoint's store entry changed
            to draining.
        versions_by_process_run: The configuration versions read from each host process.
        exits: The exits of the host processes.
        streams: The streams over all tries of their callers.
        violations: The broken promises, a line each.
    """

    tries: list[TryOutcome] = attrs.field(factory=list)
    requests: list[RequestOutcome] = attrs.field(factory=list)
    arrivals: list[tuple[float, str, str]] = attrs.field(factory=list)
    ran: Counter[str] = attrs.field(factory=Counter)
    faults: list[FaultRecord] = attrs.field(factory=list)
    draining_since: dict[str, float] = attrs.field(factory=dict)
    versions_by_process_run: dict[str, list[int]] = attrs.field(factory=dict)
    exits: list[ProcessExit] = attrs.field(factory=list)
    streams: JoinedStreams = attrs.field(factory=JoinedStreams)
    violations: list[str] = attrs.field(factory=list)

    def report(self, text: str) -> None:
        """Record a broken promise."""
        self.violations.append(text)

    def judge(self) -> list[str]:
        """Check the run and return all broken promises."""
        for outcome in self.tries:
            self._judge_try(outcome)
            self._judge_answered(outcome)
        for process_run, versions in self.versions_by_process_run.items():
            if versions != sorted(versions):
                self.report(f"{process_run}: the configuration went back: {versions}")
        for exit_record in self.exits:
            if not exit_record.is_allowed:
                self.report(exit_record.describe())
        for request in self.requests:
            self._judge_served(request)
        self._judge_drains()
        self._judge_stops()
        for problem in self.streams.list_problems(self._is_in_touch):
            self.report(problem)
        return self.violations

    def _is_in_touch(self, stream_try: StreamTry) -> bool:
        """Whether no fault of a host, of its link to the store or the store acted."""
        host = stream_try.host
        return self._was_up(host, stream_try.sent_at) and not any(
            fault.target in (host, f"store of {host}", "store")
            and fault.may_affect(stream_try.sent_at, stream_try.ended_at)
            for fault in self.faults
        )

    def _judge_try(self, outcome: TryOutcome) -> None:
        runs = self.ran[outcome.id]
        if outcome.problem:
            self.report(
                f"{outcome.kind} {outcome.id} at {outcome.host}: {outcome.problem}"
            )
        if outcome.kind != "booking":
            return
        if runs > 1:
            self.report(f"booking {outcome.id} at {outcome.host} ran {runs} times")
        if outcome.status in NOT_RUN_STATUSES and outcome.is_complete and runs:
            self.report(f"booking {outcome.id}: {outcome.status}, but it ran")

    def _judge_served(self, request: RequestOutcome) -> None:
        """Report a request that was not served and that no fault can have affected."""
        first, last = request.tries[0], request.tries[-1]
        if request.is_served or last.caller_left:
            return
        if self.is_quiet(request):
            results = ", ".join(
                f"{outcome.host} {outcome.status}" for outcome in request.tries
            )
            self.report(f"{first.kind} {first.id} not served in quiet: {results}")

    def is_quiet(self, request: RequestOutcome) -> bool:
        """Whether no fault can have affected a request."""
        since, until = request.tries[0].sent_at, request.tries[-1].ended_at
        return not any(fault.may_affect(since, until) for fault in self.faults)

    def _judge_answered(self, outcome: TryOutcome) -> None:
        """Report a host that was up, and without faults, but did not answer a try."""
        if outcome.status or outcome.caller_left:
            return
        if not self._was_up(outcome.host, outcome.sent_at):
            return
        if not any(
            fault.target == outcome.host
            and fault.may_affect(outcome.sent_at, outcome.ended_at)
            for fault in self.faults
        ):
            took = outcome.ended_at - outcome.sent_at
            self.report(
                f"{outcome.host} up, {outcome.kind} {outcome.id} unanswered"
                f" after {took:.2f} s"
            )

    def _was_up(self, host: str, at: float) -> bool:
        """Whether a host had been up for at least ``FAULT_EFFECT_SECONDS``."""
        return any(
            exit_record.host == host
            and exit_record.began_at + FAULT_EFFECT_SECONDS
            <= at
            <= exit_record.began_at + exit_record.lasted
            for exit_record in self.exits
        )

    def _judge_drains(self) -> None:
        """Report requests that reached an endpoint too long after it began to drain."""
        for at, endpoint_id, request_id in self.arrivals:
            since = self.draining_since.get(endpoint_id)
            if since is None or at <= since + DRAIN_SECONDS + MARGIN_SECONDS:
                continue
            is_affected = any(
                fault.may_affect(since, at) and not fault.is_planned
                for fault in self.faults
            )
            if not is_affected:
                late = at - since
                self.report(f"{endpoint_id} got {request_id} {late:.1f} s after drain")

    def _judge_stops(self) -> None:
        """Report requests cut by a planned operation without other faults in effect."""
        for stop in self.faults:
            if not stop.is_planned:
                continue
            others = (
                fault
                for fault in self.faults
                if fault is not stop and fault.may_affect(stop.began_at, stop.ended_at)
            )
            if any(others):
                continue
            for outcome in self.tries:
                overlaps = (
                    outcome.sent_at < stop.ended_at and outcome.ended_at > stop.began_at
                )
                if outcome.host == stop.target and overlaps and self._is_cut(outcome):
                    self.report(f"{stop.kind} of {stop.target} cut {outcome.id}")

    def _is_cut(self, outcome: TryOutcome) -> bool:
        """Whether a host accepted a request and did not answer it completely."""
        if outcome.is_complete or outcome.caller_left:
            return False
        was_forwarded = any(outcome.id == id for _, _, id in self.arrivals)
        waited = outcome.ended_at - outcome.sent_at > LOSS_SLACK_SECONDS
        return outcome.status != 0 or was_forwarded or waited


def find_problem(kind: str, status: int, headers: dict[str, str], body: bytes) -> str:
    """Return the problem of a complete answer's content; empty for none.

    Args:
        kind: The kind of the request.
        status: The status of the answer.
        headers: The headers of the answer, with names in lower case.
        body: The body of the answer.
    """
    if not 200 <= status < 300 or kind == "stream":
        return ""
    if headers.get("x-response-stamp") != PROOF:
        return "a success without proof"
    return "" if body.startswith(b"i-") else f"a body from no endpoint: {body[:40]!r}"


def now() -> float:
    """Return the monotonic time in seconds."""
    return time.monotonic()
