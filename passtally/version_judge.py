"""Decides from the answers of two versions whether the new one is worse. Does no I/O.

The new version is compared with the old one on the same routes and in the same seconds.
A network partition, a slow failure domain or a burst of requests affects both versions
and therefore counts against neither.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from passtally.sequential_test import Finding, MixtureTest, RateTest
from passtally.version_evidence import BUCKETS_PER_DOUBLING, Evidence, Tally

#: Probability of rejecting a good version, over all measures and time windows.
FALSE_REJECTION_RATE = 0.005
#: The same for a second test that leaves out the endpoint with the most failures or
#: slow answers. A single faulty endpoint does not make a version bad; a bad version
#: also shows at the other endpoints.
FALSE_REJECTION_RATE_WITHOUT_WORST = 0.1
#: Probability, per measure, of passing a version whose rate is at the tolerated limit.
FALSE_ACCEPTANCE_RATE = 0.1
#: Minimum number of answers of the old version from which a baseline rate is computed.
MIN_BASELINE = 20
#: Lower bound of baseline rates. One failure in a few dozen answers may be chance.
MIN_RATE = 0.02
#: Fraction of the old version's answers that count as slow, which sets the threshold
#: for the new one. If a version takes twice as long, about half its answers are slow.
SLOW_FRACTION = 0.1
#: Number of buckets by which the threshold rises if the old version has no answers in
#: the same seconds, as during the move. A load that would slow both versions then
#: cannot be recognized by comparison. Doubling the threshold keeps such a load from
#: counting against the new version; one that is several times as slow is still found.
UNMATCHED_EXTRA_BUCKETS = BUCKETS_PER_DOUBLING
#: Increases over the baseline rate that the answers must rule out before a version is
#: accepted: for failures on one route, slow answers on one route, and failures on all
#: routes together.
TOLERATED_ON_ROUTE = 0.3
TOLERATED_SLOW = 0.4
TOLERATED_IN_ALL = 0.15
#: Number of standard errors that are added to an observed rate of the old version.
MARGIN = 2.0

MakeTest = Callable[[float, float, float], RateTest]


def make_mixture_test(baseline: float, tolerated: float, error: float) -> RateTest:
    """Return the default test.

    Unlike Wald's test it needs no assumption about the rate of a bad version. In 40
    simulated roll-outs of each kind, both tests completed about as many good versions
    and about as many bad ones.
    """
    return MixtureTest(baseline=baseline, tolerated=tolerated, error=error)


@attrs.frozen(kw_only=True)
class Verdict:
    """The result of a judgement, with the deciding counts as the reason.

    A version that is neither bad nor good needs more answers.
    """

    is_bad: bool = False
    is_good: bool = False
    reason: str = ""


@attrs.frozen(kw_only=True)
class _Sample:
    """The counts of one measure, such as failures on a route.

    Attributes:
        measure: The description for the reason of a verdict.
        baseline: The rate of the old version.
        counts_by_endpoint: The numbers of answers and of hits (failures or slow
            answers), by endpoint of the new version.
        tolerated: The rate that must be ruled out before the version is accepted.
    """

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
        """Return the trials and hits without the endpoint that has the most hits."""
        counts = sorted(self.counts_by_endpoint.values(), key=lambda pair: -pair[1])
        others = counts[1:]
        return sum(trials for trials, _ in others), sum(hits for _, hits in others)


class VersionJudge:
    """Decides whether a new version is bad, good or undecided.

    Args:
        make_test: Creates the test of a rate from the baseline rate, the tolerated
            rate and the error probability.
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
        """Return the verdict on the new version.

        Args:
            evidence: The counts of all answers.
            earlier: Earlier snapshots of the counts. The answers since each are also
                judged separately, which detects sooner that a version starts to fail.
            has_moved: Whether the new version now gets all requests.
        """
        windows = [evidence, *(since(evidence, state) for state in earlier)]
        samples_by_window = [
            list(_samples(window, evidence, has_moved=has_moved)) for window in windows
        ]
        comparisons = max(1, sum(len(samples) for samples in samples_by_window))
        for samples in samples_by_window:
            for sample in samples:
                if self._is_high(sample, FALSE_REJECTION_RATE / comparisons):
                    return Verdict(is_bad=True, reason=_describe(sample))
        return Verdict(is_good=self._is_good(evidence, samples_by_window[0]))

    def _is_high(self, sample: _Sample, error: float) -> bool:
        if self._run_test(sample, error) is not Finding.HIGH:
            return False
        if len(sample.counts_by_endpoint) == 1:
            return True
        trials, hits = sample.without_worst()
        test = self._make_test(
            sample.baseline, sample.tolerated, FALSE_REJECTION_RATE_WITHOUT_WORST
        )
        return test.judge(trials, hits) is Finding.HIGH

    def _is_good(self, evidence: Evidence, samples: Sequence[_Sample]) -> bool:
        """Return whether every route with a baseline was tried and passes its tests."""
        routes = [
            route
            for route, tally in evidence.baseline_by_route.items()
            if tally.answers >= MIN_BASELINE
        ]
        are_tried = all(route in evidence.tried_by_route for route in routes)
        return (
            bool(routes)
            and are_tried
            and all(
                self._run_test(sample, FALSE_ACCEPTANCE_RATE) is Finding.LOW
                for sample in samples
            )
        )

    def _run_test(self, sample: _Sample, error: float) -> Finding:
        test = self._make_test(sample.baseline, sample.tolerated, error)
        return test.judge(sample.trials, sample.hits)


def since(evidence: Evidence, earlier: Evidence) -> Evidence:
    """Return the answers counted since an earlier snapshot."""
    return Evidence(
        baseline_by_route={
            route: tally.minus(earlier.baseline_by_route.get(route, Tally()))
            for route, tally in evidence.baseline_by_route.items()
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


def _samples(
    window: Evidence, overall: Evidence, *, has_moved: bool
) -> Iterable[_Sample]:
    """Yield the measures of a time window.

    The baseline is taken from the same window if it has enough answers of the old
    version, else from the whole roll-out. A route without a baseline is left out.
    """
    compared: list[tuple[Tally, Mapping[str, Tally]]] = []
    for route, by_endpoint in window.tried_by_route.items():
        baseline = window.baseline_by_route.get(route, Tally())
        is_unmatched = has_moved or baseline.answers < MIN_BASELINE
        if baseline.answers < MIN_BASELINE:
            baseline = overall.baseline_by_route.get(route, Tally())
        if baseline.answers < MIN_BASELINE:
            continue
        if any(tally.answers for tally in by_endpoint.values()):
            compared.append((baseline, by_endpoint))
            yield _failures(route, baseline, by_endpoint)
        if baseline.times.total() >= MIN_BASELINE and any(
            tally.times for tally in by_endpoint.values()
        ):
            yield _slowness(route, baseline, by_endpoint, is_unmatched=is_unmatched)
    if len(compared) > 1:
        yield _failures_on_all_routes(compared)


def _failures(route: str, baseline: Tally, tried: Mapping[str, Tally]) -> _Sample:
    rate = _baseline_rate(baseline.failures, baseline.answers)
    return _Sample(
        measure=f"failures on {route}",
        baseline=rate,
        tolerated=min(rate + TOLERATED_ON_ROUTE, 0.95),
        counts_by_endpoint={
            name: (tally.answers, tally.failures) for name, tally in tried.items()
        },
    )


def _slowness(
    route: str, baseline: Tally, tried: Mapping[str, Tally], *, is_unmatched: bool
) -> _Sample:
    bucket = _slow_threshold(baseline) + (
        UNMATCHED_EXTRA_BUCKETS if is_unmatched else 0
    )
    rate = _baseline_rate(baseline.count_slower(bucket), baseline.times.total())
    return _Sample(
        measure=f"slow answers on {route}",
        baseline=rate,
        tolerated=min(rate + TOLERATED_SLOW, 0.95),
        counts_by_endpoint={
            name: (tally.times.total(), tally.count_slower(bucket))
            for name, tally in tried.items()
        },
    )


def _failures_on_all_routes(
    parts: Sequence[tuple[Tally, Mapping[str, Tally]]],
) -> _Sample:
    """Return the failures on all routes together.

    The baseline weighs the old version's rate on each route by the number of the new
    version's answers there, since the routes' shares of the trials may differ.
    """
    tried_by_endpoint: dict[str, Tally] = {}
    expected = 0.0
    for baseline, by_endpoint in parts:
        rate = _baseline_rate(baseline.failures, baseline.answers)
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


def _baseline_rate(hits: int, trials: int) -> float:
    """Return an upper estimate of a rate of the old version."""
    rate = (hits + 1) / (trials + 2)
    error = math.sqrt(rate * (1 - rate) / (trials + 2))
    return min(max(rate + MARGIN * error, MIN_RATE), 0.9)


def _slow_threshold(baseline: Tally) -> int:
    """Return the bucket above which at most SLOW_FRACTION of the answers lie."""
    remaining = SLOW_FRACTION * baseline.times.total()
    for bucket in sorted(baseline.times, reverse=True):
        remaining -= baseline.times[bucket]
        if remaining < 0:
            return bucket
    return min(baseline.times, default=0)


def _describe(sample: _Sample) -> str:
    return (
        f"{sample.measure}: {sample.hits} of {sample.trials} answers at"
        f" {len(sample.counts_by_endpoint)} endpoints, baseline rate at most"
        f" {sample.baseline:.3f}"
    )
