"""Counts of the answers of two versions, per host and in total. Does no I/O."""

import math
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta

import attrs

from passtally.messages import AnswerCounts, HostEvidence

#: Number of histogram buckets per doubling of the answer time. Two are fine enough to
#: detect answers that take twice as long, and need about 30 buckets from 1 ms to 1 min.
BUCKETS_PER_DOUBLING = 2


def bucket_of(took: timedelta) -> int:
    """Return the bucket number of an answer time; higher is slower."""
    milliseconds = max(took / timedelta(milliseconds=1), 1)
    return math.floor(BUCKETS_PER_DOUBLING * math.log2(milliseconds))


@attrs.define(kw_only=True)
class Tally:
    """Counts of the answers on one route.

    Attributes:
        answers: The number of answers, including those that never arrived.
        failures: The number of answers that failed or arrived incomplete.
        times: The number of answers by time bucket; not every answer is timed.
    """

    answers: int = 0
    failures: int = 0
    times: Counter[int] = attrs.field(factory=Counter)

    def replace(self, before: AnswerCounts | None, after: AnswerCounts) -> None:
        """Replace the earlier counts of one host by its newer ones."""
        if before is not None:
            self.answers -= before.answers
            self.failures -= before.failures
            self.times.subtract(before.times)
        self.answers += after.answers
        self.failures += after.failures
        self.times.update(after.times)

    def copy(self) -> "Tally":
        """Return an independent copy."""
        return Tally(answers=self.answers, failures=self.failures, times=+self.times)

    def minus(self, earlier: "Tally") -> "Tally":
        """Return the difference from an earlier state of this tally."""
        return Tally(
            answers=self.answers - earlier.answers,
            failures=self.failures - earlier.failures,
            times=self.times - earlier.times,
        )

    def count_slower(self, bucket: int) -> int:
        """Return the number of answers in buckets above the given one."""
        return sum(count for number, count in self.times.items() if number > bucket)


@attrs.frozen(kw_only=True)
class Evidence:
    """The counted answers of both versions in one roll-out.

    Attributes:
        baseline_by_route: The answers of the old version, by route.
        tried_by_route: The answers of the new version, by route and endpoint.
    """

    baseline_by_route: Mapping[str, Tally]
    tried_by_route: Mapping[str, Mapping[str, Tally]]


class EvidenceTable:
    """The counts of all hosts in one roll-out.

    Each host publishes only the counts that it made itself. They only grow, so that
    updates may arrive repeatedly, late and over any path. A host that restarts begins
    new counts, which are added to those of its earlier starts.

    Args:
        order_id: The id of the roll-out's order.
        host_id: The id of this host.
        life: A number that increases with each start of this host.
    """

    def __init__(self, *, order_id: str, host_id: str, life: int) -> None:
        self.order_id = order_id
        self.local = HostEvidence(host_id=host_id, life=life, revision=0)
        self._evidence_by_host: dict[tuple[str, int], HostEvidence] = {}
        #: The sums over all hosts, by route and endpoint.
        self._totals: dict[tuple[str, str], Tally] = {}

    def count(
        self,
        *,
        route: str,
        endpoint_id: str,
        answers: int = 0,
        failures: int = 0,
        took: timedelta | None = None,
    ) -> None:
        """Add answers that this host received.

        Args:
            route: The route, or a measure of its answers.
            endpoint_id: The endpoint of the new version; empty for the old version.
            answers: The number of additional answers.
            failures: The number of additional failures among these answers.
            took: The answer time; None if it must not be counted.
        """
        counts_by_key = _counts_by_key(self.local)
        known = counts_by_key.get((route, endpoint_id))
        known = known or AnswerCounts(route=route, endpoint_id=endpoint_id)
        times = dict(known.times)
        if took is not None:
            bucket = bucket_of(took)
            times[bucket] = times.get(bucket, 0) + 1
        counts_by_key[route, endpoint_id] = AnswerCounts(
            route=route,
            endpoint_id=endpoint_id,
            answers=known.answers + answers,
            failures=known.failures + failures,
            times=times,
        )
        self.publish(counts=list(counts_by_key.values()))

    def publish(self, **changes: object) -> None:
        """Change the evidence of this host and increment its revision."""
        fields = {
            name: getattr(self.local, name) for name in self.local.__struct_fields__
        }
        fields |= changes | {"revision": self.local.revision + 1}
        before, self.local = self.local, HostEvidence(**fields)
        self._update_totals(before, self.local)

    def merge(self, evidence: HostEvidence) -> bool:
        """Merge the evidence of another host and return whether it is new.

        Evidence of this host's current start is ignored, since others only forward it.
        """
        key = (evidence.host_id, evidence.life)
        if key == (self.local.host_id, self.local.life):
            return False
        known = self._evidence_by_host.get(key)
        if known is not None and known.revision >= evidence.revision:
            return False
        self._evidence_by_host[key] = evidence
        self._update_totals(known, evidence)
        return True

    def hosts(self) -> list[HostEvidence]:
        """Return the newest evidence of each start of each host, this one included."""
        return [self.local, *self._evidence_by_host.values()]

    def newest_of(self, host_id: str) -> HostEvidence | None:
        """Return the evidence of a host's latest known start, or None."""
        items = [item for item in self.hosts() if item.host_id == host_id]
        return max(items, key=lambda item: item.life, default=None)

    def sum_up(self) -> Evidence:
        """Return a snapshot of the counts of all hosts together."""
        baseline: dict[str, Tally] = {}
        tried: dict[str, dict[str, Tally]] = {}
        for (route, endpoint_id), tally in self._totals.items():
            if endpoint_id:
                tried.setdefault(route, {})[endpoint_id] = tally.copy()
            else:
                baseline[route] = tally.copy()
        return Evidence(baseline_by_route=baseline, tried_by_route=tried)

    def _update_totals(self, before: HostEvidence | None, after: HostEvidence) -> None:
        known = {} if before is None else _counts_by_key(before)
        for key, counts in _counts_by_key(after).items():
            if known.get(key) is not counts:
                total = self._totals.setdefault(key, Tally())
                total.replace(known.get(key), counts)


def _counts_by_key(evidence: HostEvidence) -> dict[tuple[str, str], AnswerCounts]:
    return {(item.route, item.endpoint_id): item for item in evidence.counts}
