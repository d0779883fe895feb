"""What is left to do for an answer, judged by the answers before it.

A caller that comes back late may have too little time left for the rest of its
answer. Reading its prompt again would hold up others, and serve nobody.
"""

from collections import deque
from datetime import timedelta
from statistics import quantiles

import attrs

#: Answers that are remembered of each service: some ten seconds of a busy host.
HISTORY_SIZE = 32
#: Nothing is forecast from fewer answers. A host that was started after a loss of all
#: hosts has seen about this many when callers come back that did not notice at once.
MIN_SAMPLES = 4
#: The quantiles are deciles; the first is the lowest.
_DECILES = 10
#: Prompt tokens that an engine reads in a second, until it was seen: the sheets of the
#: first users.
START_SPEED = 5_000.0
#: How long an answer takes until some were seen: most of the first users' did not last
#: longer.
START_LASTS = timedelta(seconds=6.4)
#: How much longer than twice the reading a first output may take.
FIRST_SLACK = timedelta(seconds=1.5)
#: A short answer: nine in ten were longer.
_SHORT = 0
#: A quick step, and a quick reading: four in five were slower.
_QUICK_STEP = 1
_QUICK_READING = 7
#: A slow reading: nine in ten were quicker.
_SLOW_READING = 0
#: A long answer: four in five were shorter.
_LONG = 7
#: The median.
_USUAL = 4


@attrs.define(kw_only=True)
class _Seen:
    """What was seen of one service.

    Attributes:
        speeds: Tokens of a prompt read in a second, from dispatch to first output.
        lengths: Positions at which whole answers ended.
        steps: Seconds from one position to the next.
    """

    speeds: deque[float] = attrs.field(factory=lambda: deque(maxlen=HISTORY_SIZE))
    lengths: deque[int] = attrs.field(factory=lambda: deque(maxlen=HISTORY_SIZE))
    steps: deque[float] = attrs.field(factory=lambda: deque(maxlen=HISTORY_SIZE))


class Forecast:
    """Tells the least time that the rest of an answer takes. Pure."""

    def __init__(self) -> None:
        self._seen_by_service: dict[str, _Seen] = {}

    def record_first(self, service: str, tokens: int, waited: timedelta) -> None:
        """Take in how long a prompt of so many tokens took to its first output."""
        if tokens and waited:
            self._seen(service).speeds.append(tokens / waited.total_seconds())

    def record_completion(
        self, service: str, positions: int, lasted: timedelta
    ) -> None:
        """Take in a whole answer, and how long it lasted from its first output on."""
        if positions < 2:
            return
        seen = self._seen(service)
        seen.lengths.append(positions)
        seen.steps.append(lasted.total_seconds() / (positions - 1))

    def min_time(self, service: str, *, tokens: int, position: int) -> timedelta:
        """Return the least time in which an answer is likely to be whole.

        Args:
            service: The service.
            tokens: What is to be read before it goes on.
            position: How far it is.

        Returns:
            The time for a short answer, read quickly; 0 where too little was seen.
        """
        seen = self._seen(service)
        if min(len(seen.speeds), len(seen.lengths)) < MIN_SAMPLES:
            return timedelta(0)
        left = max(0.0, _decile(seen.lengths, _SHORT) - position)
        reading = tokens / _decile(seen.speeds, _QUICK_READING)
        return timedelta(seconds=reading + left * _decile(seen.steps, _QUICK_STEP))

    def prefill_time(self, service: str, tokens: int) -> timedelta:
        """Return the least time in which so many tokens are likely to be read.

        Returns:
            The time for a quick reading; 0 where too little was seen.
        """
        seen = self._seen(service)
        if len(seen.speeds) < MIN_SAMPLES:
            return timedelta(0)
        return timedelta(seconds=tokens / _decile(seen.speeds, _QUICK_READING))

    def typical_time(self, service: str, *, tokens: int) -> timedelta:
        """Return the time in which four answers in five are likely to be whole.

        Args:
            service: The service.
            tokens: The prompt's length; 0 where that is not known.
        """
        seen = self._seen(service)
        if min(len(seen.speeds), len(seen.lengths)) < MIN_SAMPLES:
            return START_LASTS
        reading = tokens / _decile(seen.speeds, _USUAL)
        writing = _decile(seen.lengths, _LONG) * _decile(seen.steps, _USUAL)
        return timedelta(seconds=reading + writing)

    def first_limit(self, service: str, tokens: int) -> timedelta | None:
        """Return how long a first output may take at an endpoint that lives.

        Args:
            service: The service.
            tokens: All that the endpoint is known to read before it; 0 where that is
                not known.

        Returns:
            The limit, or None where there is nothing to judge it by.
        """
        if not tokens:
            return None
        seen = self._seen(service)
        speed = START_SPEED
        if len(seen.speeds) >= MIN_SAMPLES:
            speed = min(speed, _decile(seen.speeds, _SLOW_READING))
        return FIRST_SLACK + timedelta(seconds=2 * tokens / speed)

    def _seen(self, service: str) -> _Seen:
        return self._seen_by_service.setdefault(service, _Seen())


def _decile(values: deque, number: int) -> float:
    return quantiles(values, n=_DECILES, method="inclusive")[number]
