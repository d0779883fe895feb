"""Tells from the answers of two versions whether the new one is worse. Pure.

The new version is held against the one before: on the same routes, in the same seconds.
What hits both, a cut, a slow failure domain, a flood of requests, is no fault of one.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from passtally.sequential_test import Finding, MixtureTest, RateTest
from passtally.version_evidence import BUCKETS_PER_DOUBLING, Evidence, Tally

#: The chance that a good version is found bad, over all that is looked at.
ERROR = 0.005
#: The same without the endpoint that speaks most against it. One endpoint that fails by
#: itself does not make a version bad; a bad version has more of them.
ERROR_WITHOUT_WORST = 0.1
#: The chance that a version is found good that fails or is slow as often as tolerated.
MISS = 0.1
#: How many answers of the version before make its rates known well enough.
MIN_BASELINE = 20
#: A rate below this is not told from it: one failure in some dozen answers is chance.
MIN_RATE = 0.02
#: An answer is slow if it takes longer than all but this part of the usual ones. One of
#: a version that takes twice as long then is slow about every second time.
SLOW_PART = 0.1
#: The same where the version before has not answered in the same seconds, as while all
#: hosts move to the new one: what slows both is then told from what a bad version does
#: by how much slower the answers are, several times or less.
ALONE_BUCKETS = BUCKETS_PER_DOUBLING
#: How much more often than usual answers of a route may fail, or be slow, and of all
#: routes together, before the new version is not found good.
TOLERATED_ON_ROUTE = 0.3
TOLERATED_SLOW = 0.4
TOLERATED_IN_ALL = 0.15
#: Standard errors by which a rate of the version before may be higher than was seen.
MARGIN = 2.0

MakeTest = Callable[[float, float, float], RateTest]


def make_mixture_test(baseline: float, tolerated: float, error: float) -> RateTest:
    """Return the test that is used.

    It needs no rate to be named for a bad version. Of 40 roll-outs a kind, played in
    virtual time, it and Wald's test complete about as many good and bad ones.
    """
    return MixtureTest(baseline=baseline, tolerated=tolerated, error=error)


@attrs.frozen(kw_only=True)
class Verdict:
    """What was found, and the counts that decided it."""

    is_bad: bool = False
    is_good: bool = False
    reason: str = ""


@attrs.frozen(kw_only=True)
class _Sample:
    """Trials of one measure, by endpoint of the new version."""

    measure: str
    baseline: float
    counts_by_endpoint: Mapping[str, tuple[int, int]]
    tolerated: float

    @property
    def trials(self) -> int:
        return sum(trials for trials, _ in self.counts_by_endpoint.values())

    @property
    def hits(self) -> int:
        return sum(hits for _, hits in self.counts_by_endpoint.values())

    def without_worst(self) -> tuple[int, int]:
        """Return trials and hits without the endpoint that has the most hits."""
        counts = sorted(self.counts_by_endpoint.values(), key=lambda pair: -pair[1])
        rest = counts[1:]
        return sum(trials for trials, _ in rest), sum(hits for _, hits in rest)


class VersionJudge:
    """Judges a new version.

    Args:
        make_test: Makes the test of a rate, by what is usual, what is tolerated, and
            the chance of an error.
    """

    def __init__(self, *, make_test: MakeTest = make_mixture_test) -> None:
        self._make_test = make_test

    def judge(
        self,
        evidence: Evidence,
        earlier: Sequence[Evidence] = (),
        *,
        has_moved: bool = False,
    ) -> Verdict:
        """Return what the answers show.

        Args:
            evidence: All answers.
            earlier: All answers at some earlier moments: a version that turns bad is
                found sooner by what came since.
            has_moved: Whether the new version has all requests by now.
        """
        spans = [evidence, *(since(evidence, state) for state in earlier)]
        samples_by_span = [
            list(_samples(span, evidence, has_moved=has_moved)) for span in spans
        ]
        looks = max(1, sum(len(samples) for samples in samples_by_span))
        for samples in samples_by_span:
            for sample in samples:
                if self._is_high(sample, ERROR / looks):
                    return Verdict(is_bad=True, reason=_describe(sample))
        return Verdict(is_good=self._is_good(evidence, samples_by_span[0]))

    def _is_high(self, sample: _Sample, error: float) -> bool:
        if self._find(sample, error) is not Finding.HIGH:
            return False
        if len(sample.counts_by_endpoint) == 1:
            return True
        trials, hits = sample.without_worst()
        test = self._make_test(sample.baseline, sample.tolerated, ERROR_WITHOUT_WORST)
        return test.judge(trials, hits) is Finding.HIGH

    def _is_good(self, evidence: Evidence, samples: Sequence[_Sample]) -> bool:
        """Return whether each route was seen enough and nothing speaks against it."""
        known = [
            route
            for route, tally in evidence.usual_by_route.items()
            if tally.answers >= MIN_BASELINE
        ]
        is_seen = all(route in evidence.tried_by_route for route in known)
        return (
            bool(known)
            and is_seen
            and all(self._find(sample, MISS) is Finding.LOW for sample in samples)
        )

    def _find(self, sample: _Sample, error: float) -> Finding:
        test = self._make_test(sample.baseline, sample.tolerated, error)
        return test.judge(sample.trials, sample.hits)


def since(evidence: Evidence, earlier: Evidence) -> Evidence:
    """Return what came since an earlier state."""
    return Evidence(
        usual_by_route={
            route: tally.minus(earlier.usual_by_route.get(route, Tally()))
            for route, tally in evidence.usual_by_route.items()
        },
        tried_by_route={
            route: {
                name: tally.minus(
                    earlier.tried_by_route.get(route, {}).get(name, Tally())
                )
                for name, tally in by_endpoint.items()
            }
            for route, by_endpoint in evidence.tried_by_route.items()
        },
    )


def _samples(span: Evidence, whole: Evidence, *, has_moved: bool) -> Iterable[_Sample]:
    """Return the measures of a span, held against the same span where it has enough."""
    failing: list[tuple[Tally, Mapping[str, Tally]]] = []
    for route, by_endpoint in span.tried_by_route.items():
        baseline = span.usual_by_route.get(route, Tally())
        is_alone = has_moved or baseline.answers < MIN_BASELINE
        if baseline.answers < MIN_BASELINE:
            baseline = whole.usual_by_route.get(route, Tally())
        if baseline.answers < MIN_BASELINE:
            continue
        if any(tally.answers for tally in by_endpoint.values()):
            failing.append((baseline, by_endpoint))
            yield _failures(route, baseline, by_endpoint)
        if baseline.times.total() >= MIN_BASELINE and any(
            tally.times for tally in by_endpoint.values()
        ):
            yield _slowness(route, baseline, by_endpoint, is_alone=is_alone)
    if len(failing) > 1:
        yield _all_failures(failing)


def _failures(route: str, baseline: Tally, tried: Mapping[str, Tally]) -> _Sample:
    rate = _usual_rate(baseline.failures, baseline.answers)
    return _Sample(
        measure=f"failures on {route}",
        baseline=rate,
        tolerated=min(rate + TOLERATED_ON_ROUTE, 0.95),
        counts_by_endpoint={
            name: (tally.answers, tally.failures) for name, tally in tried.items()
        },
    )


def _slowness(
    route: str, baseline: Tally, tried: Mapping[str, Tally], *, is_alone: bool
) -> _Sample:
    bucket = _slow_above(baseline) + (ALONE_BUCKETS if is_alone else 0)
    rate = _usual_rate(baseline.count_slower(bucket), baseline.times.total())
    return _Sample(
        measure=f"slow answers on {route}",
        baseline=rate,
        tolerated=min(rate + TOLERATED_SLOW, 0.95),
        counts_by_endpoint={
            name: (tally.times.total(), tally.count_slower(bucket))
            for name, tally in tried.items()
        },
    )


def _all_failures(parts: Sequence[tuple[Tally, Mapping[str, Tally]]]) -> _Sample:
    """Return the failures of all routes together, with the mix of the tried ones."""
    tried_by_endpoint: dict[str, Tally] = {}
    expected = 0.0
    for baseline, by_endpoint in parts:
        rate = _usual_rate(baseline.failures, baseline.answers)
        for name, tally in by_endpoint.items():
            total = tried_by_endpoint.setdefault(name, Tally())
            total.answers += tally.answers
            total.failures += tally.failures
            expected += rate * tally.answers
    trials = sum(tally.answers for tally in tried_by_endpoint.values())
    rate = max(expected / max(trials, 1), MIN_RATE)
    return _Sample(
        measure="failures on all routes",
        baseline=rate,
        tolerated=min(rate + TOLERATED_IN_ALL, 0.95),
        counts_by_endpoint={
            name: (tally.answers, tally.failures)
            for name, tally in tried_by_endpoint.items()
        },
    )


def _usual_rate(hits: int, trials: int) -> float:
    """Return a rate of the version before, as high as it may well be."""
    rate = (hits + 1) / (trials + 2)
    error = math.sqrt(rate * (1 - rate) / (trials + 2))
    return min(max(rate + MARGIN * error, MIN_RATE), 0.9)


def _slow_above(baseline: Tally) -> int:
    """Return the bucket above which a usual answer is one of the slowest few."""
    left = SLOW_PART * baseline.times.total()
    for bucket in sorted(baseline.times, reverse=True):
        left -= baseline.times[bucket]
        if left < 0:
            return bucket
    return min(baseline.times, default=0)


def _describe(sample: _Sample) -> str:
    return (
        f"{sample.measure}: {sample.hits} of {sample.trials} at"
        f" {len(sample.counts_by_endpoint)} endpoints, where up to"
        f" {sample.baseline:.3f} are usual"
    )
