"""The trial of a new version on one host: request limits, evidence and verdict."""

import asyncio
import math
from collections import deque
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.messages import HostEvidence
from passtally.objects import Endpoint, EndpointState
from passtally.ranking import rank_of
from passtally.retry_budget import Lend, ServiceBudgets, lend_nothing
from passtally.rollout import GRACE, Rollout, RolloutRecord, RolloutState
from passtally.version_evidence import Evidence, EvidenceTable
from passtally.version_judge import Verdict, VersionJudge

#: Fraction of the slack (the fixed number of requests that may go to a bad version)
#: that hosts divide among themselves. The rest is a reserve for hosts that restart and
#: spend their part a second time.
PLANNED_SLACK_FRACTION = 0.75
#: Minimum number of endpoints of the new version that are tried, so that a single
#: faulty endpoint can be distinguished from a bad version.
MIN_TRIED = 3
#: Fraction of the trial in which cold endpoints, which are still slow after their
#: start, are not tried. Later they are, but their answer times are not counted.
COLD_WAIT_FRACTION = 0.4
#: Interval between judgements of the answers. One judgement takes 1 ms.
JUDGE_INTERVAL = timedelta(milliseconds=250)
#: Interval between snapshots of all counts.
SNAPSHOT_INTERVAL = timedelta(seconds=1)
#: Recent time windows whose answers are judged separately, by the difference between
#: the counts and a snapshot.
RECENT_WINDOWS = (timedelta(seconds=2), timedelta(seconds=5))
#: Number of snapshots to keep, which cover the longest window.
MAX_SNAPSHOTS = 6


class RolloutTrial:
    """Limits the requests to a new version and judges it by its answers.

    Args:
        record: The order and its recorded state.
        host_id: The id of this host.
        life: A number that increases with each start of this host.
        clock: The clock.
        share: The fraction of the requests that may go to a bad version.
        slack: The number of further requests that may, over all hosts.
        hosts: Returns the number of hosts that share the slack.
        judge: Decides from the answers whether the version is bad or good.
        ask_others: Borrows trial budget from other hosts.
    """

    def __init__(
        self,
        *,
        record: RolloutRecord,
        host_id: str,
        life: int,
        clock: Clock,
        share: float,
        slack: float,
        hosts: Callable[[], int],
        judge: VersionJudge,
        ask_others: Lend = lend_nothing,
    ) -> None:
        self._clock = clock
        self._slack = slack
        self._hosts = hosts
        self._judge = judge
        self.rollout = Rollout(record=record, now=clock.monotonic())
        self.order = record.order
        self.evidence_table = EvidenceTable(
            order_id=self.order.id, host_id=host_id, life=life
        )
        self.tried_ids: frozenset[str] = frozenset()
        #: Whether the new version has an active endpoint.
        self.has_new_version = False
        self._verdict = Verdict()
        self._judged_at = -JUDGE_INTERVAL
        #: Snapshots of the counts of all hosts, with the time of each.
        self._snapshots: deque[tuple[timedelta, Evidence]] = deque(maxlen=MAX_SNAPSHOTS)
        #: The latest attempt to borrow a trial from other hosts.
        self._borrow_task: asyncio.Task[None] | None = None
        #: Number of borrowed trials that no request has used yet.
        self._borrowed_trials = 0
        self.budgets = ServiceBudgets(
            share=share,
            extra=self._current_slack,
            window=2 * self.order.within,
            clock=clock,
            resume_share=0.0,
            ask_others=ask_others,
        )

    def adjust(self, *, share: float, slack: float) -> None:
        """Change the limits on trials."""
        self.budgets.share = share
        self._slack = slack

    def _current_slack(self) -> float:
        """Return this host's part of the slack, which grows over the trial.

        If it could be spent at once, no trials would be left to detect a version that
        starts to fail later.
        """
        rollout = self.rollout
        trial = rollout.trial_ends_at - rollout.began_at
        elapsed = (self._clock.monotonic() - rollout.began_at) / trial
        return PLANNED_SLACK_FRACTION * self._slack * min(elapsed, 1.0) / self._hosts()

    def select_endpoints(
        self, endpoints: Sequence[Endpoint], usable: Collection[str]
    ) -> None:
        """Select the endpoints that get trials.

        All hosts select the same few endpoints. Each of these then gets as many
        requests as an endpoint of the old version, which also reveals a version that is
        bad only under load.

        Args:
            endpoints: The endpoints of the service.
            usable: The ids of the endpoints that this host can use.
        """
        rollout = self.rollout
        new = [
            endpoint
            for endpoint in endpoints
            if rollout.is_new(endpoint) and endpoint.state is EndpointState.ACTIVE
        ]
        self.has_new_version = bool(new)
        if new and rollout.state is RolloutState.WAITING:
            self.send("come")
        ready = [
            item for item in new if item.id in usable and not self._is_warming_up(item)
        ]
        ready.sort(key=lambda item: rank_of(self.order.id, item.id))
        count = max(MIN_TRIED, math.ceil(self.budgets.share * len(new)))
        self.tried_ids = frozenset(item.id for item in ready[:count])

    def _is_warming_up(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is cold and the trial can still wait for it."""
        rollout = self.rollout
        trial = rollout.trial_ends_at - rollout.began_at
        is_early = (
            self._clock.monotonic() < rollout.began_at + COLD_WAIT_FRACTION * trial
        )
        return endpoint.is_cold and is_early

    def acquire_trial(self) -> bool:
        """Count a new request and return whether it becomes a trial."""
        service = self.order.service
        self.budgets.earn("", service=service)
        if self.rollout.state is not RolloutState.TRYING or not self.tried_ids:
            return False
        if self._borrowed_trials:
            self._borrowed_trials -= 1
            return True
        if self.budgets.try_resume("", service=service):
            return True
        if self._borrow_task is None or self._borrow_task.done():
            self._borrow_task = asyncio.create_task(self._borrow())
        return False

    async def _borrow(self) -> None:
        """Borrow from other hosts what is missing for one more trial.

        With 90 hosts, each earns only a tenth of a trial per second. No request waits
        for the loan; the next request uses it.
        """
        self._borrowed_trials += await self.budgets.borrow(
            service=self.order.service, is_resume=True
        )

    def release(self) -> None:
        """Release an unused trial for another request."""
        self.budgets.release(service=self.order.service)

    def allows(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get requests that are not trials.

        If the new version loses all its endpoints during the move, the old version
        serves again.
        """
        if self.rollout.state is RolloutState.COMPLETING and not self.has_new_version:
            return True
        return self.rollout.allows(endpoint, now=self._clock.monotonic())

    def has_rejected(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint runs the new version and that was rejected."""
        rejected = (RolloutState.ROLLING_BACK, RolloutState.ROLLED_BACK)
        return self.rollout.state in rejected and self.rollout.is_new(endpoint)

    @property
    def is_expired(self) -> bool:
        """Whether the order's time and a grace period have passed."""
        expires_at = self.rollout.began_at + self.order.within + GRACE
        return self._clock.monotonic() > expires_at

    def record_answer(
        self,
        endpoint: Endpoint,
        *,
        route: str,
        answers: int,
        failures: int,
        took: timedelta | None,
    ) -> None:
        """Count answers of an endpoint, unless the roll-out is over."""
        if self.rollout.is_over:
            return
        is_new = self.rollout.is_new(endpoint)
        self.evidence_table.count(
            route=route,
            endpoint_id=endpoint.id if is_new else "",
            answers=answers,
            failures=failures,
            took=None if endpoint.is_cold else took,
        )

    def judge(self) -> Verdict:
        """Return the verdict on the answers of all hosts.

        Within JUDGE_INTERVAL the previous verdict is returned.
        """
        now = self._clock.monotonic()
        if now - self._judged_at < JUDGE_INTERVAL:
            return self._verdict
        self._judged_at = now
        evidence = self.evidence_table.sum_up()
        earlier = [
            snapshot
            for window in RECENT_WINDOWS
            if (snapshot := self._snapshot_before(now - window))
        ]
        if not self._snapshots or now - self._snapshots[-1][0] >= SNAPSHOT_INTERVAL:
            self._snapshots.append((now, evidence))
        has_moved = self.rollout.state is RolloutState.COMPLETING
        self._verdict = self._judge.judge(evidence, earlier, has_moved=has_moved)
        return self._verdict

    def reject(self, reason: str) -> None:
        """Stop all requests to the new version."""
        if self.rollout.state is not RolloutState.ROLLING_BACK:
            self.send("reject", why=reason)

    def send(self, event: str, **fields: object) -> None:
        """Process an event of the chart and log the state if it changed."""
        if self.rollout.send(event, now=self._clock.monotonic()):
            self.log_state(**fields)

    def apply_record(self, record: RolloutRecord) -> None:
        """Apply a newer record and log the state if it changed."""
        before = self.rollout.state
        self.rollout.apply_record(record, now=self._clock.monotonic())
        if self.rollout.state is not before:
            self.log_state(why="recorded")

    def log_state(self, **fields: object) -> None:
        """Log the state with the counts for the new version."""
        evidence = self.evidence_table.sum_up()
        tried = [
            tally
            for by_endpoint in evidence.tried_by_route.values()
            for tally in by_endpoint.values()
        ]
        log_event(
            "rollout",
            f"{self.rollout.state.capitalize().replace('_', ' ')}.",
            order=self.order.id,
            version=self.order.version,
            answers=sum(tally.answers for tally in tried),
            failures=sum(tally.failures for tally in tried),
            hosts=len(self.evidence_table.hosts()),
            **fields,
        )

    def receive(self, evidence: HostEvidence) -> bool:
        """Merge another host's evidence and return whether it is new.

        If any host has rejected the version, this host rejects it too: a wrong
        rejection only costs another roll-out, but a bad version costs answers.
        """
        if not self.evidence_table.merge(evidence):
            return False
        is_bad = evidence.state in (RolloutState.ROLLING_BACK, RolloutState.ROLLED_BACK)
        if is_bad and not self.rollout.is_over:
            self.reject(f"rejected by host {evidence.host_id}")
        return True

    def _snapshot_before(self, moment: timedelta) -> Evidence | None:
        """Return the newest snapshot that is at least as old as a moment."""
        older = [counts for taken_at, counts in self._snapshots if taken_at <= moment]
        return older[-1] if older else None


def rank_hosts(order_id: str, host_ids: Sequence[str]) -> list[str]:
    """Return hosts in the order in which they try to record a decision.

    The hosts need not agree on this order, since the store accepts only the first of
    two writes.
    """
    return sorted(host_ids, key=lambda name: rank_of(order_id, name))
