"""One roll-out under way on this host: what is sent, counted and found."""

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

#: The part that hosts plan with of the fixed number of requests that may go to a bad
#: version. The rest is for hosts that start anew and spend their part once more.
SLACK_PART = 0.75
#: At least so many endpoints of the new version are tried, so that one that fails by
#: itself can be told from a version that does.
MIN_TRIED = 3
#: The part of the trial after which endpoints are tried that are still slow from their
#: start; their times are not counted.
COLD_PART = 0.4
#: How often the answers are judged: it takes a millisecond.
JUDGE_INTERVAL = timedelta(milliseconds=250)
#: How often the counts are kept, to tell what came since; and how long ago the states
#: were that the counts are held against.
KEEP_INTERVAL = timedelta(seconds=1)
SPANS = (timedelta(seconds=2), timedelta(seconds=5))
KEPT_STATES = 6


class RolloutTrial:
    """Bounds what goes to a new version, and judges it.

    Args:
        record: The order.
        host_id: This host.
        life: What tells this host's start from its earlier ones.
        clock: The clock.
        share: The part of the requests that may go to a bad version.
        slack: How many more may, of all hosts together.
        hosts: Returns how many hosts share that.
        judge: Judges the answers.
        ask_others: Asks other hosts for a part of theirs.
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
        #: Whether an endpoint of the new version is in use.
        self.has_new = False
        self._verdict = Verdict()
        self._judged_at = -JUDGE_INTERVAL
        #: Earlier states of all counts, and when they were kept.
        self._states: deque[tuple[timedelta, Evidence]] = deque(maxlen=KEPT_STATES)
        #: Whether a part of others' is being asked for, and trials that were lent.
        self._borrowing: asyncio.Task[None] | None = None
        self._lent = 0
        self.budgets = ServiceBudgets(
            share=share,
            extra=self._slack_now,
            window=2 * self.order.within,
            clock=clock,
            resume_part=0.0,
            ask_others=ask_others,
        )

    def adjust(self, *, share: float, slack: float) -> None:
        """Bound what is sent by other figures from now on."""
        self.budgets.share = share
        self._slack = slack

    def _slack_now(self) -> float:
        """Return this host's part of the fixed number; it grows over the trial.

        What is spent at once finds no version that turns bad later.
        """
        rollout = self.rollout
        trial = rollout.trial_ends_at - rollout.began_at
        passed = (self._clock.monotonic() - rollout.began_at) / trial
        return SLACK_PART * self._slack * min(passed, 1.0) / self._hosts()

    def look(self, endpoints: Sequence[Endpoint], usable: Collection[str]) -> None:
        """Choose which endpoints are tried.

        All hosts choose alike: a few endpoints get as much each as those of the version
        before do, so that a version that is bad under load shows it.

        Args:
            endpoints: The endpoints of the service.
            usable: The ids of those that can be used.
        """
        rollout = self.rollout
        new = [
            endpoint
            for endpoint in endpoints
            if rollout.is_new(endpoint) and endpoint.state is EndpointState.ACTIVE
        ]
        self.has_new = bool(new)
        if new and rollout.state is RolloutState.WAITING:
            self.send("come")
        ready = [item for item in new if item.id in usable and not self._waits(item)]
        ready.sort(key=lambda item: rank_of(self.order.id, item.id))
        count = max(MIN_TRIED, math.ceil(self.budgets.share * len(new)))
        self.tried_ids = frozenset(item.id for item in ready[:count])

    def _waits(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is still slow from its start, and time is left."""
        rollout = self.rollout
        trial = rollout.trial_ends_at - rollout.began_at
        is_early = self._clock.monotonic() < rollout.began_at + COLD_PART * trial
        return endpoint.is_cold and is_early

    def acquire_trial(self) -> bool:
        """Count a request, and return whether it is to try the new version."""
        service = self.order.service
        self.budgets.earn("", service=service)
        if self.rollout.state is not RolloutState.TRYING or not self.tried_ids:
            return False
        if self._lent:
            self._lent -= 1
            return True
        if self.budgets.try_resume("", service=service):
            return True
        if self._borrowing is None or self._borrowing.done():
            self._borrowing = asyncio.create_task(self._borrow())
        return False

    async def _borrow(self) -> None:
        """Ask others for what is missing for one more trial.

        Among 90 hosts each has a tenth of a trial a second. No request waits for an
        answer; the next one uses it.
        """
        self._lent += await self.budgets.borrow(
            service=self.order.service, is_resume=True
        )

    def release(self) -> None:
        """Leave a trial to another request."""
        self.budgets.release(service=self.order.service)

    def allows(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get requests that are not counted.

        Where all endpoints of the new version are lost while hosts move to it, the
        version before still serves.
        """
        if self.rollout.state is RolloutState.COMPLETING and not self.has_new:
            return True
        return self.rollout.allows(endpoint, now=self._clock.monotonic())

    @property
    def is_past(self) -> bool:
        """Whether the order's time, and some more, is over."""
        past = self.rollout.began_at + self.order.within + GRACE
        return self._clock.monotonic() > past

    def record_answer(
        self,
        endpoint: Endpoint,
        *,
        route: str,
        answers: int,
        failures: int,
        took: timedelta | None,
    ) -> None:
        """Count how an endpoint answered."""
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
        """Return what all hosts' answers show by now."""
        now = self._clock.monotonic()
        if now - self._judged_at < JUDGE_INTERVAL:
            return self._verdict
        self._judged_at = now
        evidence = self.evidence_table.sum_up()
        earlier = [state for span in SPANS if (state := self._state_before(now - span))]
        if not self._states or now - self._states[-1][0] >= KEEP_INTERVAL:
            self._states.append((now, evidence))
        has_moved = self.rollout.state is RolloutState.COMPLETING
        self._verdict = self._judge.judge(evidence, earlier, has_moved=has_moved)
        return self._verdict

    def reject(self, reason: str) -> None:
        """Send the new version nothing more."""
        if self.rollout.state is not RolloutState.ROLLING_BACK:
            self.send("reject", why=reason)

    def send(self, event: str, **fields: object) -> None:
        """Take one event, and log the state that follows."""
        if self.rollout.send(event, now=self._clock.monotonic()):
            self.log_state(**fields)

    def take(self, record: RolloutRecord) -> None:
        """Take in what is recorded."""
        before = self.rollout.state
        self.rollout.take(record, now=self._clock.monotonic())
        if self.rollout.state is not before:
            self.log_state(why="recorded")

    def log_state(self, **fields: object) -> None:
        """Tell the state, and the counts that stand behind it."""
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
        """Take in what another host tells, and return whether it is new.

        What one host has found bad gets nothing more from any: a version that was
        wrongly found bad costs another try, one that is used on costs answers.
        """
        if not self.evidence_table.take(evidence):
            return False
        is_bad = evidence.state in (RolloutState.ROLLING_BACK, RolloutState.ROLLED_BACK)
        if is_bad and not self.rollout.is_over:
            self.reject(f"found bad by {evidence.host_id}")
        return True

    def _state_before(self, moment: timedelta) -> Evidence | None:
        """Return the newest state that was kept before a moment."""
        kept = [state for kept_at, state in self._states if kept_at <= moment]
        return kept[-1] if kept else None


def rank_hosts(order_id: str, host_ids: Sequence[str]) -> list[str]:
    """Return hosts in the order in which they record what was decided.

    It needs no agreement: a store takes only the first of two records.
    """
    return sorted(host_ids, key=lambda name: rank_of(order_id, name))
