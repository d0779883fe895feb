"""Estimates the remaining time of an answer from earlier answers of its service.

A caller that reconnects late may have too little time left for the rest of its answer.
Another prefill of its prompt would then stall other streams for an answer that cannot
be complete in time.
"""

from collections import deque
from datetime import timedelta
from statistics import quantiles

import attrs

from passtally.priority import Priority

#: Number of recent answers used per service: about ten seconds of a busy host.
HISTORY_SIZE = 32
#: Minimum number of answers for a forecast. After a loss of all hosts, a restarted host
#: has seen about this many when the callers that noticed the loss late reconnect.
MIN_SAMPLES = 4
#: Minimum number of answers among which a long one is likely to be, where one in ten is
#: long.
MIN_SAFE_SAMPLES = 20
#: Time after a first output for which it tells when the next one is to be expected. A
#: host that refuses requests for a slow forecast gets no new samples, so that the
#: forecast has to expire.
FORGET_FIRST_AFTER = timedelta(seconds=10)
#: Number of parts for the quantiles below. The nine cut points are indexed from 0, the
#: lowest, so that index 0 is the 10th percentile.
_DECILES = 10
#: Prefill rate in tokens per second that is assumed before enough answers are known,
#: as specified for the engines of the first deployments.
DEFAULT_PREFILL_RATE = 5_000.0
#: Duration of an answer that is assumed before enough answers are known. Most answers
#: of the first deployments took no longer.
DEFAULT_DURATION = timedelta(seconds=6.4)
#: Allowance for a first output, added to twice the prefill time.
FIRST_OUTPUT_SLACK = timedelta(seconds=1.5)
#: Length of a short answer: 10th percentile.
_SHORT_LENGTH = 0
#: Duration of a fast decode step and rate of a fast prefill: four in five were slower,
#: so the 20th percentile of durations and the 80th of rates.
_FAST_STEP = 1
_FAST_PREFILL = 7
#: Rate of a slow prefill: 10th percentile.
_SLOW_PREFILL = 0


@attrs.define(kw_only=True)
class _FirstOutputs:
    """Samples from recent first outputs of one priority.

    Attributes:
        rates: Prompt tokens per second, from dispatch to first output.
        sampled_at: When the last one was taken, on the monotonic clock.
    """

    rates: deque[float] = attrs.field(factory=lambda: deque(maxlen=HISTORY_SIZE))
    sampled_at: timedelta = timedelta(0)


@attrs.define(kw_only=True)
class _History:
    """Samples from recent answers of one service.

    Attributes:
        prefill_rates: Prompt tokens per second, from dispatch to first output.
        first_outputs_by_priority: The same, by the priority of the requests.
        lengths: Lengths of complete answers, in positions.
        steps: Mean duration of a decode step in each answer, in seconds.
    """

    prefill_rates: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=HISTORY_SIZE)
    )
    first_outputs_by_priority: dict[Priority, _FirstOutputs] = attrs.field(factory=dict)
    lengths: deque[int] = attrs.field(factory=lambda: deque(maxlen=HISTORY_SIZE))
    steps: deque[float] = attrs.field(factory=lambda: deque(maxlen=HISTORY_SIZE))


class Forecast:
    """Estimates prefill and answer times per service. Pure, no I/O."""

    def __init__(self) -> None:
        self._histories_by_service: dict[str, _History] = {}

    def record_first(
        self,
        service: str,
        tokens: int,
        waited: timedelta,
        *,
        priority: Priority,
        now: timedelta,
    ) -> None:
        """Record the time to first output of a prompt.

        Args:
            service: The id of the service.
            tokens: Number of tokens that needed prefill; 0 if unknown.
            waited: Time to the first output.
            priority: The priority of the request.
            now: The monotonic time.
        """
        if not tokens or not waited:
            return
        history, rate = self._history(service), tokens / waited.total_seconds()
        history.prefill_rates.append(rate)
        first_outputs = history.first_outputs_by_priority.setdefault(
            priority, _FirstOutputs()
        )
        first_outputs.rates.append(rate)
        first_outputs.sampled_at = now

    def record_completion(
        self, service: str, positions: int, duration: timedelta
    ) -> None:
        """Record a complete answer.

        Args:
            service: The id of the service.
            positions: Number of positions of the answer.
            duration: Time from its first output to its end.
        """
        if positions < 2:
            return
        history = self._history(service)
        history.lengths.append(positions)
        history.steps.append(duration.total_seconds() / (positions - 1))

    def min_time(self, service: str, *, tokens: int, position: int) -> timedelta:
        """Return the minimum time in which an answer is likely to be complete.

        Args:
            service: The id of the service.
            tokens: Number of tokens that need prefill before the answer continues.
            position: The number of positions that the answer has already.

        Returns:
            The time for a fast prefill and the rest of a short answer in fast steps;
            0 if there are too few samples.
        """
        history = self._history(service)
        if min(len(history.prefill_rates), len(history.lengths)) < MIN_SAMPLES:
            return timedelta(0)
        remaining_positions = max(
            0.0, _decile(history.lengths, _SHORT_LENGTH) - position
        )
        decode = remaining_positions * _decile(history.steps, _FAST_STEP)
        prefill_time = self.min_prefill_time(service, tokens=tokens)
        return prefill_time + timedelta(seconds=decode)

    def min_prefill_time(self, service: str, *, tokens: int) -> timedelta:
        """Return the time for a fast prefill; 0 if there are too few samples."""
        rates = self._history(service).prefill_rates
        if len(rates) < MIN_SAMPLES:
            return timedelta(0)
        return timedelta(seconds=tokens / _decile(rates, _FAST_PREFILL))

    def first_output_time(
        self,
        service: str,
        *,
        tokens: int,
        tokens_ahead: int,
        priority: Priority,
        now: timedelta,
    ) -> timedelta:
        """Return the time to first output by a fast prefill of a prompt.

        Engines run the prompts of more urgent requests first. So a request waits as
        long as others of its priority did, and the prompts that wait at the engine
        count only for the least urgent priority.

        Args:
            service: The id of the service.
            tokens: Number of tokens of the prompt that need prefill.
            tokens_ahead: Number of tokens of other prompts that wait there.
            priority: The priority of the request.
            now: The monotonic time.

        Returns:
            The time, or 0 if there are too few fresh samples.
        """
        by_priority = self._history(service).first_outputs_by_priority
        fresh_by_priority = {
            other: outputs
            for other, outputs in by_priority.items()
            if now - outputs.sampled_at <= FORGET_FIRST_AFTER
        }
        first_outputs = fresh_by_priority.get(priority)
        if first_outputs is None or len(first_outputs.rates) < MIN_SAMPLES:
            return timedelta(0)
        if priority >= max(fresh_by_priority):
            tokens += tokens_ahead
        rate = _decile(first_outputs.rates, _FAST_PREFILL)
        return timedelta(seconds=tokens / rate)

    def safe_time(self, service: str, *, tokens: int) -> timedelta:
        """Return the time in which nearly all answers are likely to be complete.

        Args:
            service: The id of the service.
            tokens: Number of prompt tokens; 0 if unknown.

        Returns:
            The time for a slow prefill and the longest recent answer in the slowest
            recent steps; at least a fixed assumption if there are too few samples.
        """
        history = self._history(service)
        samples = min(len(history.prefill_rates), len(history.lengths))
        if samples < MIN_SAMPLES:
            return DEFAULT_DURATION
        reading = tokens / _decile(history.prefill_rates, _SLOW_PREFILL)
        decode = max(history.lengths) * max(history.steps)
        forecast = timedelta(seconds=reading + decode)
        if samples < MIN_SAFE_SAMPLES:
            return max(forecast, DEFAULT_DURATION)
        return forecast

    def first_output_limit(self, service: str, tokens: int) -> timedelta | None:
        """Return the maximum time to first output at a working endpoint.

        Args:
            service: The id of the service.
            tokens: Number of tokens for prefill before the first output, including
                those of other prompts queued there; 0 if unknown.

        Returns:
            The limit, or None if the number of tokens is unknown.
        """
        if not tokens:
            return None
        history = self._history(service)
        rate = DEFAULT_PREFILL_RATE
        if len(history.prefill_rates) >= MIN_SAMPLES:
            rate = min(rate, _decile(history.prefill_rates, _SLOW_PREFILL))
        return FIRST_OUTPUT_SLACK + timedelta(seconds=2 * tokens / rate)

    def _history(self, service: str) -> _History:
        return self._histories_by_service.setdefault(service, _History())


def _decile(values: deque, number: int) -> float:
    return quantiles(values, n=_DECILES, method="inclusive")[number]
