"""Tells an endpoint that fails calls from a service, or a host, in trouble. Pure.

An endpoint is held against its neighbours: the others of its service, in the same
seconds. What hits all of them, a cut, a flood of calls, a bad release, or a caller
whose calls fail everywhere, is no fault of one.
"""

from collections import deque
from collections.abc import Collection
from datetime import timedelta

import attrs

from passtally.sequential_test import Finding, MixtureTest

#: The chance that an endpoint that fails no more often than its neighbours is found
#: failing, by one host in one span. An error costs it the calls of a second.
ERROR = 0.005
#: A rate of failures below this is not told from it: one failure in some dozen answers
#: is chance. With it two failures in a row are enough, and one never is.
MIN_RATE = 0.02
#: The test weighs no rate below the usual one; what it then tolerates is not asked.
TOLERATED_RATE = 0.5
#: How far back answers are held against each other. Where 90 hosts share the calls, a
#: host still sends an endpoint three in this time.
SPAN = timedelta(seconds=10)
#: The most answers of a service that a host remembers: 20 a second, or the newest.
MAX_ANSWERS = 200


@attrs.frozen(kw_only=True)
class _Answer:
    at: timedelta
    endpoint_id: str
    is_failure: bool


class CallRecord:
    """How the calls of one service ended at its endpoints, as one host saw them."""

    def __init__(self) -> None:
        self._answers: deque[_Answer] = deque(maxlen=MAX_ANSWERS)

    def note(self, endpoint_id: str, *, is_failure: bool, now: timedelta) -> None:
        """Take in how a call ended.

        Args:
            endpoint_id: Where it was sent.
            is_failure: Whether it was lost there, or answered with a failure.
            now: The monotonic time.
        """
        answer = _Answer(at=now, endpoint_id=endpoint_id, is_failure=is_failure)
        self._answers.append(answer)

    def is_failing(
        self, endpoint_id: str, *, left_out: Collection[str], now: timedelta
    ) -> bool:
        """Return whether an endpoint fails more calls than its neighbours.

        All are counted since its first failure. Where no neighbour has answered well
        since, nothing tells that the endpoint is at fault, and not this host.

        Args:
            endpoint_id: The endpoint.
            left_out: Other endpoints that are known to fail.
            now: The monotonic time.
        """
        own, others = self._count_since_failure(endpoint_id, left_out, now)
        if len(others) == sum(others):
            return False
        # Without a failure among few answers, the least rate stands for the usual one.
        baseline = max(MIN_RATE, sum(others) / len(others))
        test = MixtureTest(baseline=baseline, tolerated=TOLERATED_RATE, error=ERROR)
        return test.judge(len(own), sum(own)) is Finding.HIGH

    def _count_since_failure(
        self, endpoint_id: str, left_out: Collection[str], now: timedelta
    ) -> tuple[list[bool], list[bool]]:
        """Return which calls failed at an endpoint and at the others."""
        own: list[bool] = []
        others: list[bool] = []
        for answer in self._answers:
            if answer.at < now - SPAN:
                continue
            if answer.endpoint_id == endpoint_id:
                if own or answer.is_failure:
                    own.append(answer.is_failure)
            elif own and answer.endpoint_id not in left_out:
                others.append(answer.is_failure)
        return own, others
