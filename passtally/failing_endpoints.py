"""Detection of endpoints that fail more calls than the rest of their service. Pure.

An endpoint is compared with its neighbours, the other endpoints of its service, over
the same seconds. A fault that affects all of them, such as a network cut, an overload,
a bad release, or a caller whose calls fail everywhere, is not attributed to one.
"""

from collections import deque
from collections.abc import Collection
from datetime import timedelta

import attrs

from passtally.sequential_test import Finding, MixtureTest

#: Probability that one host, within one ``SPAN``, finds an endpoint failing that fails
#: no more often than its neighbours. A false positive costs it the calls of one second.
ERROR = 0.005
#: Minimum failure rate that is assumed for the neighbours, as one failure in a dozen
#: answers is chance. At this rate two failures in a row suffice, and one never does.
MIN_RATE = 0.02
#: Tolerated rate of the sequential test. It has no effect here, since only the finding
#: that a rate is above the baseline is used.
TOLERATED_RATE = 0.5
#: Period over which answers are compared. Even if 90 hosts share the calls, a host
#: sends an endpoint three of them in this time.
SPAN = timedelta(seconds=10)
#: Limit of answers remembered for each service, enough for 20 a second over ``SPAN``;
#: the oldest are dropped beyond it.
MAX_ANSWERS = 200


@attrs.frozen(kw_only=True)
class _Answer:
    at: timedelta
    endpoint_id: str
    is_failure: bool


class CallRecord:
    """The results of one host's recent calls to the endpoints of one service."""

    def __init__(self) -> None:
        self._answers: deque[_Answer] = deque(maxlen=MAX_ANSWERS)

    def add(self, endpoint_id: str, *, is_failure: bool, now: timedelta) -> None:
        """Add the result of a call.

        Args:
            endpoint_id: The endpoint that the call was sent to.
            is_failure: Whether the call was lost there, or answered with a failure.
            now: The monotonic time.
        """
        answer = _Answer(at=now, endpoint_id=endpoint_id, is_failure=is_failure)
        self._answers.append(answer)

    def is_failing(
        self, endpoint_id: str, *, excluded: Collection[str], now: timedelta
    ) -> bool:
        """Return whether an endpoint fails more calls than its neighbours.

        Calls are counted since the endpoint's first failure. If no neighbour has
        succeeded since then, the fault may as well be with this host.

        Args:
            endpoint_id: The endpoint.
            excluded: Other endpoints that are known to fail, and are not compared with.
            now: The monotonic time.
        """
        own, others = self._count_since_failure(endpoint_id, excluded, now)
        if len(others) == sum(others):
            return False
        # A few answers without a failure do not show a failure rate below MIN_RATE.
        baseline = max(MIN_RATE, sum(others) / len(others))
        test = MixtureTest(baseline=baseline, tolerated=TOLERATED_RATE, error=ERROR)
        return test.judge(len(own), sum(own)) is Finding.HIGH

    def _count_since_failure(
        self, endpoint_id: str, excluded: Collection[str], now: timedelta
    ) -> tuple[list[bool], list[bool]]:
        """Return the results of calls to an endpoint and to its neighbours.

        Both lists start at the endpoint's first failure; True marks a failure.
        """
        own: list[bool] = []
        others: list[bool] = []
        for answer in self._answers:
            if answer.at < now - SPAN:
                continue
            if answer.endpoint_id == endpoint_id:
                if own or answer.is_failure:
                    own.append(answer.is_failure)
            elif own and answer.endpoint_id not in excluded:
                others.append(answer.is_failure)
        return own, others
