"""Sequential tests of a rate, which may be evaluated after every answer.

A fixed-sample test that is evaluated repeatedly far exceeds its nominal error
probability. The two tests here keep their bound however often they are evaluated:

- Wald's sequential probability ratio test, Annals of Mathematical Statistics 16 (1945),
  compares two rates. It decides between these two soonest, and says little about other
  rates.
- A mixture of likelihood ratios (Robbins, Annals of Mathematical Statistics 41, 1970;
  Howard et al., Annals of Statistics 49, 2021) compares one rate with all rates above
  or below it. It needs no assumption about the rate of a bad version.
"""

import math
from collections.abc import Sequence
from enum import StrEnum
from typing import Protocol

import attrs

#: Number of rates that represent all rates above or below the tested one.
MIXED_RATES = 16


class Finding(StrEnum):
    """The result of a test; OPEN until the samples suffice for a decision."""

    HIGH = "high"
    LOW = "low"
    OPEN = "open"


class RateTest(Protocol):
    """A test whether a rate is above its baseline, or surely not far above it."""

    def judge(self, trials: int, hits: int) -> Finding:
        """Return the result for a number of hits in a number of trials."""


@attrs.frozen(kw_only=True)
class MixtureTest:
    """Compares the baseline with all rates above it, the tolerated one with all below.

    Attributes:
        baseline: The highest rate that must not be found high.
        tolerated: The lowest rate that must not be found low.
        error: The probability, over all evaluations, of finding a rate high that is at
            most the baseline, or low that is at least the tolerated rate.
    """

    baseline: float
    tolerated: float
    error: float

    _above: Sequence["_LogRatio"] = attrs.field(init=False)
    _below: Sequence["_LogRatio"] = attrs.field(init=False)

    @_above.default
    def _make_above(self) -> Sequence["_LogRatio"]:
        rates = (self.baseline + (1 - self.baseline) * part for part in _MIDPOINTS)
        return tuple(_LogRatio.of(rate, self.baseline) for rate in rates)

    @_below.default
    def _make_below(self) -> Sequence["_LogRatio"]:
        rates = (self.tolerated * part for part in _MIDPOINTS)
        return tuple(_LogRatio.of(rate, self.tolerated) for rate in rates)

    def judge(self, trials: int, hits: int) -> Finding:
        """Return the result for a number of hits in a number of trials."""
        needed = math.log(1 / self.error)
        if _log_mean(self._above, trials, hits) >= needed:
            return Finding.HIGH
        if _log_mean(self._below, trials, hits) >= needed:
            return Finding.LOW
        return Finding.OPEN


@attrs.frozen(kw_only=True)
class RatioTest:
    """Wald's sequential probability ratio test of two rates.

    Attributes:
        baseline: The rate that is found low.
        high: The rate that is found high.
        error: The probability of each of the two wrong results.
    """

    baseline: float
    high: float
    error: float

    def judge(self, trials: int, hits: int) -> Finding:
        """Return the result for a number of hits in a number of trials."""
        ratio = _LogRatio.of(self.high, self.baseline).log_likelihood_ratio(
            trials, hits
        )
        bound = math.log((1 - self.error) / self.error)
        if ratio >= bound:
            return Finding.HIGH
        return Finding.LOW if ratio <= -bound else Finding.OPEN


#: Midpoints of MIXED_RATES equal parts of the unit interval. They are scaled to the
#: range of rates above or below the tested one.
_MIDPOINTS: Sequence[float] = tuple(
    (number + 0.5) / MIXED_RATES for number in range(MIXED_RATES)
)


@attrs.frozen(kw_only=True)
class _LogRatio:
    """The log-likelihood ratio of two rates per trial.

    Attributes:
        on_hit: The change of the ratio at a hit.
        on_miss: The change of the ratio at a miss.
    """

    on_hit: float
    on_miss: float

    @classmethod
    def of(cls, rate: float, base: float) -> "_LogRatio":
        """Return the ratio of one rate to a base rate."""
        return cls(
            on_hit=math.log(rate / base), on_miss=math.log((1 - rate) / (1 - base))
        )

    def log_likelihood_ratio(self, trials: int, hits: int) -> float:
        """Return the ratio's total over a number of trials and hits."""
        return hits * self.on_hit + (trials - hits) * self.on_miss


def _log_mean(ratios: Sequence[_LogRatio], trials: int, hits: int) -> float:
    """Return the logarithm of the mean likelihood ratio, without overflow."""
    logs = [ratio.log_likelihood_ratio(trials, hits) for ratio in ratios]
    top = max(logs)
    return top + math.log(sum(math.exp(log - top) for log in logs) / len(logs))
