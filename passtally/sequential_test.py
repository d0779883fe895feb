"""Tests of a rate that may be looked at after every answer. Pure.

A test that is made for one look errs far more often than it says when it is looked at
again and again. Both of these keep their bound however often they are looked at:

- Wald's sequential probability ratio test, Annals of Mathematical Statistics 16 (1945),
  weighs two single rates against each other. Between them it decides soonest, and it
  says little of rates that are neither.
- A mixture of likelihood ratios (Robbins, Annals of Mathematical Statistics 41, 1970;
  Howard et al., Annals of Statistics 49, 2021) weighs one rate against all that are
  above or below it. It needs no guess of how bad a bad one is.
"""

import math
from collections.abc import Sequence
from enum import StrEnum
from typing import Protocol

import attrs

#: How many rates stand for all that are above or below the one in question.
MIXED_RATES = 16


class Finding(StrEnum):
    """What a test has found."""

    HIGH = "high"
    LOW = "low"
    OPEN = "open"


class RateTest(Protocol):
    """Whether a rate is above what is usual, or surely not far above it."""

    def judge(self, trials: int, hits: int) -> Finding:
        """Return what so many hits of so many trials show."""


@attrs.frozen(kw_only=True)
class MixtureTest:
    """Weighs one rate against all above it, and another against all below it.

    Attributes:
        baseline: The rate that is not held against what is tested.
        tolerated: The rate that must be ruled out before it is found low.
        error: The chance to find a rate high that is at most the usual one, or low
            that is at least the tolerated one, at any look.
    """

    baseline: float
    tolerated: float
    error: float

    _above: Sequence["_LogRatio"] = attrs.field(init=False)
    _below: Sequence["_LogRatio"] = attrs.field(init=False)

    @_above.default
    def _make_above(self) -> Sequence["_LogRatio"]:
        rates = (self.baseline + (1 - self.baseline) * part for part in _PARTS)
        return tuple(_LogRatio.of(rate, self.baseline) for rate in rates)

    @_below.default
    def _make_below(self) -> Sequence["_LogRatio"]:
        rates = (self.tolerated * part for part in _PARTS)
        return tuple(_LogRatio.of(rate, self.tolerated) for rate in rates)

    def judge(self, trials: int, hits: int) -> Finding:
        """Return what so many hits of so many trials show."""
        needed = math.log(1 / self.error)
        if _log_mean(self._above, trials, hits) >= needed:
            return Finding.HIGH
        if _log_mean(self._below, trials, hits) >= needed:
            return Finding.LOW
        return Finding.OPEN


@attrs.frozen(kw_only=True)
class RatioTest:
    """Wald's test of two rates.

    Attributes:
        baseline: The one rate.
        high: The other.
        error: The chance of either error.
    """

    baseline: float
    high: float
    error: float

    def judge(self, trials: int, hits: int) -> Finding:
        """Return what so many hits of so many trials show."""
        ratio = _LogRatio.of(self.high, self.baseline).weigh(trials, hits)
        bound = math.log((1 - self.error) / self.error)
        if ratio >= bound:
            return Finding.HIGH
        return Finding.LOW if ratio <= -bound else Finding.OPEN


#: Halfway into each of so many equal parts of what lies above or below a rate.
_PARTS: Sequence[float] = tuple(
    (number + 0.5) / MIXED_RATES for number in range(MIXED_RATES)
)


@attrs.frozen(kw_only=True)
class _LogRatio:
    """How the likelihood of one rate grows against another's with each trial."""

    on_hit: float
    on_miss: float

    @classmethod
    def of(cls, rate: float, base: float) -> "_LogRatio":
        """Return what weighs one rate against another."""
        return cls(
            on_hit=math.log(rate / base), on_miss=math.log((1 - rate) / (1 - base))
        )

    def weigh(self, trials: int, hits: int) -> float:
        """Return the logarithm of the likelihood ratio."""
        return hits * self.on_hit + (trials - hits) * self.on_miss


def _log_mean(ratios: Sequence[_LogRatio], trials: int, hits: int) -> float:
    """Return the logarithm of the mean likelihood ratio."""
    logs = [ratio.weigh(trials, hits) for ratio in ratios]
    top = max(logs)
    return top + math.log(sum(math.exp(log - top) for log in logs) / len(logs))
