"""What answers tell of a version, counted by each host and summed over all. Pure."""

import math
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta

import attrs

from passtally.messages import AnswerCounts, HostEvidence

#: Times are counted by bounds of which so many are within twice the time: fine enough
#: to tell twice as slow, and some 30 numbers for all from a millisecond to a minute.
BUCKETS_PER_DOUBLING = 2


def bucket_of(took: timedelta) -> int:
    """Return the number of the time's bucket; higher is slower."""
    milliseconds = max(took / timedelta(milliseconds=1), 1)
    return math.floor(BUCKETS_PER_DOUBLING * math.log2(milliseconds))


@attrs.define(kw_only=True)
class Tally:
    """Answers of one kind.

    Attributes:
        answers: How many came, or should have.
        failures: How many of them failed or did not come whole.
        times: How many took how long, by bucket; not all are timed.
    """

    answers: int = 0
    failures: int = 0
    times: Counter[int] = attrs.field(factory=Counter)

    def replace(self, before: AnswerCounts | None, after: AnswerCounts) -> None:
        """Count what one host tells in place of what it told before."""
        if before is not None:
            self.answers -= before.answers
            self.failures -= before.failures
            self.times.subtract(before.times)
        self.answers += after.answers
        self.failures += after.failures
        self.times.update(after.times)

    def copy(self) -> "Tally":
        """Return its state now."""
        return Tally(answers=self.answers, failures=self.failures, times=+self.times)

    def minus(self, earlier: "Tally") -> "Tally":
        """Return what came since an earlier state of it."""
        return Tally(
            answers=self.answers - earlier.answers,
            failures=self.failures - earlier.failures,
            times=self.times - earlier.times,
        )

    def count_slower(self, bucket: int) -> int:
        """Return how many took longer than a bucket's times."""
        return sum(count for number, count in self.times.items() if number > bucket)


@attrs.frozen(kw_only=True)
class Evidence:
    """All that is known of one roll-out.

    Attributes:
        usual_by_route: What the version before answered, by route.
        tried_by_route: What the new version answered, by route and endpoint.
    """

    usual_by_route: Mapping[str, Tally]
    tried_by_route: Mapping[str, Mapping[str, Tally]]


class EvidenceTable:
    """What all hosts counted in one roll-out, each host's own counts once.

    A host tells its own counts alone, which only grow, so that news may come twice,
    late and by any way. One that started anew counts anew, beside what it had counted.

    Args:
        order_id: The roll-out.
        host_id: This host.
        life: What tells this host's start from its earlier ones.
    """

    def __init__(self, *, order_id: str, host_id: str, life: int) -> None:
        self.order_id = order_id
        self.own = HostEvidence(host_id=host_id, life=life, revision=0)
        self._heard_by_host: dict[tuple[str, int], HostEvidence] = {}
        #: What the counts of all hosts add up to, by route and endpoint.
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
        """Count what this host saw.

        Args:
            route: Of which route, or of which measure of it.
            endpoint_id: The endpoint of the new version; empty for the one before.
            answers: How many more answers.
            failures: How many more failures among them.
            took: How long it took, where that is to count.
        """
        counts_by_kind = _by_kind(self.own)
        known = counts_by_kind.get((route, endpoint_id))
        known = known or AnswerCounts(route=route, endpoint_id=endpoint_id)
        times = dict(known.times)
        if took is not None:
            bucket = bucket_of(took)
            times[bucket] = times.get(bucket, 0) + 1
        counts_by_kind[route, endpoint_id] = AnswerCounts(
            route=route,
            endpoint_id=endpoint_id,
            answers=known.answers + answers,
            failures=known.failures + failures,
            times=times,
        )
        self.publish(counts=list(counts_by_kind.values()))

    def publish(self, **changes: object) -> None:
        """Change what this host tells of itself."""
        fields = {name: getattr(self.own, name) for name in self.own.__struct_fields__}
        fields |= changes | {"revision": self.own.revision + 1}
        before, self.own = self.own, HostEvidence(**fields)
        self._add_up(before, self.own)

    def take(self, evidence: HostEvidence) -> bool:
        """Take in what a host tells, and return whether it is new."""
        key = (evidence.host_id, evidence.life)
        if key == (self.own.host_id, self.own.life):
            return False
        known = self._heard_by_host.get(key)
        if known is not None and known.revision >= evidence.revision:
            return False
        self._heard_by_host[key] = evidence
        self._add_up(known, evidence)
        return True

    def hosts(self) -> list[HostEvidence]:
        """Return what each host told last, this one included."""
        return [self.own, *self._heard_by_host.values()]

    def newest_of(self, host_id: str) -> HostEvidence | None:
        """Return what a host told since its last start, or None."""
        told = [item for item in self.hosts() if item.host_id == host_id]
        return max(told, key=lambda item: item.life, default=None)

    def sum_up(self) -> Evidence:
        """Return the counts of all hosts together, as they are now."""
        baseline: dict[str, Tally] = {}
        tried: dict[str, dict[str, Tally]] = {}
        for (route, endpoint_id), tally in self._totals.items():
            if endpoint_id:
                tried.setdefault(route, {})[endpoint_id] = tally.copy()
            else:
                baseline[route] = tally.copy()
        return Evidence(usual_by_route=baseline, tried_by_route=tried)

    def _add_up(self, before: HostEvidence | None, after: HostEvidence) -> None:
        known = {} if before is None else _by_kind(before)
        for kind, counts in _by_kind(after).items():
            if known.get(kind) is not counts:
                total = self._totals.setdefault(kind, Tally())
                total.replace(known.get(kind), counts)


def _by_kind(evidence: HostEvidence) -> dict[tuple[str, str], AnswerCounts]:
    return {(item.route, item.endpoint_id): item for item in evidence.counts}
