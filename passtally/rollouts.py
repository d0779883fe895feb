"""Runs roll-outs on hosts that coordinate through gossip and the store alone.

Each host limits its own trials, gossips the answers that it counted, and judges the new
version by the counts of all hosts. The first host to do so records the decision with
the order: the store rejects a write that is based on an outdated version of the object.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from functools import partial

from passtally.budget_loans import BudgetLoans
from passtally.clock import Clock
from passtally.decision import log_event
from passtally.fleet import Fleet
from passtally.messages import RolloutNews
from passtally.metrics import Metric, Metrics, NoMetrics
from passtally.object_store import PlatformError
from passtally.objects import Endpoint
from passtally.peers import Peers
from passtally.rollout import RecordedState, RolloutRecord, RolloutState
from passtally.rollout_trial import RolloutTrial, rank_hosts
from passtally.roster import Roster
from passtally.service_index import ServiceIndex
from passtally.version_judge import VersionJudge

#: Interval between steps of an active roll-out. The rejection of a version reaches 90
#: hosts in five steps; trials must stop within five seconds of the 50th bad answer.
TICK = timedelta(milliseconds=100)
#: Number of linked hosts that get an update at each step, and number of steps in which
#: each update is sent.
FANOUT = 3
SENT_STEPS = 3
#: Interval between updates with the counts of the old version, which change with every
#: request. Counts of the new version are sent at the next step.
SEND_INTERVAL = timedelta(seconds=1)
#: Additional delay of each host, by rank, before it records a decision, so that usually
#: only one host writes. A call to the store takes 4 ms, and the change reaches the
#: other hosts within 400 ms.
RECORD_STEP = timedelta(milliseconds=250)
#: Minimum interval between two attempts to record a decision.
RECORD_RETRY = timedelta(seconds=1)
#: Time for which endpoints of an unknown version get no requests. Orders and endpoints
#: arrive by separate watches, and the order is stored a moment before the endpoints.
ORDER_WAIT = timedelta(seconds=1)
#: The same while this host may lack orders: a host that has just started receives them
#: from the watchers within one or two seconds.
MAX_ORDER_WAIT = timedelta(seconds=3)
#: Monotonic time assumed for a version whose first endpoint was not recorded.
LONG_AGO = timedelta(days=-1)
#: Minimum duration of a move, so that all hosts learn of it before it can complete.
MIN_MOVE = timedelta(seconds=1)

Record = Callable[[RolloutRecord, RecordedState], Awaitable[None]]


class Rollouts:
    """Runs the roll-outs of all services on this host.

    Implements :class:`passtally.versions.Versions`.

    Args:
        host_id: The id of this host.
        life: A number that increases with each start of this host.
        share: The fraction of the requests that may go to a bad version.
        slack: The number of further requests that may, over all hosts.
        min_hosts: The minimum number of hosts assumed to share the slack.
        catalog: The index of services and endpoints.
        loans: Lends trial budget to other hosts and borrows from them.
        peers: The links to other hosts.
        roster: The known hosts.
        clock: The clock.
        rng: The random generator that selects gossip targets.
        record: Records a state in the store; fails if the order has changed.
        is_current: Returns whether this host has all orders that other hosts have.
        judge: Decides from the answers whether a version is bad or good.
        metrics: The metrics to update.
    """

    def __init__(
        self,
        *,
        host_id: str,
        life: int,
        share: float,
        slack: float,
        min_hosts: int,
        catalog: ServiceIndex,
        loans: BudgetLoans,
        peers: Peers,
        roster: Roster,
        clock: Clock,
        rng: random.Random,
        record: Record,
        is_current: Callable[[], bool] = lambda: True,
        judge: VersionJudge | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self._host_id = host_id
        self._life = life
        self._share = share
        self._slack = slack
        self._least_hosts = min_hosts
        self._catalog = catalog
        self._loans = loans
        self._peers = peers
        self._roster = roster
        self._clock = clock
        self._rng = rng
        self._record = record
        self._is_current = is_current
        self._judge = judge or VersionJudge()
        self._metrics = metrics or NoMetrics()
        self._fleet: Fleet | None = None
        self._trials_by_service: dict[str, RolloutTrial] = {}
        #: The endpoint with the earliest start of all recorded ones, by service.
        self._oldest_by_service: dict[str, Endpoint] = {}
        self._seen_at_by_version: dict[tuple[str, str], timedelta] = {}
        self._has_order = asyncio.Event()
        #: Remaining sends of each host's evidence, by order, host and start.
        self._sends_left: dict[tuple[str, str, int], int] = {}
        self._local_sent_at = timedelta(0)
        self._record_at_by_service: dict[str, timedelta] = {}
        peers.listen(RolloutNews, self.receive)

    def adjust(self, *, share: float, slack: float) -> None:
        """Change the limits on trials, also for active roll-outs."""
        self._share, self._slack = share, slack
        for trial in self._trials_by_service.values():
            trial.adjust(share=share, slack=slack)

    def stop(self) -> None:
        """Withdraw all roll-outs, since this host no longer follows orders."""
        for service in list(self._trials_by_service):
            self._withdraw(
                self._trials_by_service.pop(service), why="roll-outs disabled"
            )

    def set_fleet(self, fleet: Fleet) -> None:
        """Set the fleet, which itself depends on this object."""
        self._fleet = fleet

    @property
    def active_count(self) -> int:
        """The number of roll-outs that have not ended."""
        trials = self._trials_by_service.values()
        return sum(not trial.rollout.is_over for trial in trials)

    @property
    def states_by_service(self) -> Mapping[str, RolloutState]:
        """The state of the latest roll-out of each service."""
        return {
            service: trial.rollout.state
            for service, trial in self._trials_by_service.items()
        }

    def apply_record(self, record: RolloutRecord) -> None:
        """Start the roll-out of a new order, or apply a newer record of a known one."""
        service = record.order.service
        trial = self._trials_by_service.get(service)
        if trial is not None and trial.order.id == record.order.id:
            trial.apply_record(record)
            return
        if trial is not None:
            self._withdraw(trial, why="replaced")
        trial = RolloutTrial(
            record=record,
            host_id=self._host_id,
            life=self._life,
            clock=self._clock,
            share=self._share,
            slack=self._slack,
            hosts=lambda: max(self._roster.peak_hosts, self._least_hosts),
            judge=self._judge,
            ask_others=partial(self._loans.ask, scope=record.order.id),
        )
        self._loans.lend_from(trial.budgets, scope=record.order.id)
        self._trials_by_service[service] = trial
        trial.log_state(why="ordered", within=record.order.within)
        self._has_order.set()

    def remove_order(self, service: str) -> None:
        """Withdraw a service's roll-out after its order was removed."""
        trial = self._trials_by_service.pop(service, None)
        if trial is not None:
            self._withdraw(trial, why="order removed")

    def allows(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get requests that are not trials."""
        trial = self._trials_by_service.get(endpoint.service)
        if trial is None:
            return not self._may_await_order(endpoint)
        if trial.allows(endpoint):
            return True
        # Once the order has expired, a rejected version serves if there is no other.
        return trial.is_expired and not self._has_other_version(endpoint)

    def accepts_trials(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get trials of a new version."""
        trial = self._trials_by_service.get(endpoint.service)
        return trial is not None and endpoint.id in trial.tried_ids

    def may_resume(self, endpoint: Endpoint) -> bool:
        """Return whether answers that an endpoint's version began may go on at it.

        They may while the version is tried, and at the previous version after the move.
        A rejected version gets no more requests of any kind.
        """
        trial = self._trials_by_service.get(endpoint.service)
        is_rejected = trial is not None and trial.has_rejected(endpoint)
        return not is_rejected or self.allows(endpoint)

    def acquire_trial(self, service: str) -> bool:
        """Count a new request and return whether it becomes a trial."""
        trial = self._trials_by_service.get(service)
        if trial is None or trial.rollout.is_over or not trial.acquire_trial():
            return False
        self._metrics.count(Metric.TRIALS, service)
        return True

    def release(self, service: str) -> None:
        """Release a trial that no endpoint could run, for use by another request."""
        trial = self._trials_by_service.get(service)
        if trial is not None:
            trial.release()

    def record_answer(
        self,
        endpoint: Endpoint,
        *,
        route: str,
        answers: int = 0,
        failures: int = 0,
        took: timedelta | None = None,
    ) -> None:
        """Count answers of an endpoint as evidence; see ``Versions``."""
        trial = self._trials_by_service.get(endpoint.service)
        if trial is None:
            return
        trial.record_answer(
            endpoint, route=route, answers=answers, failures=failures, took=took
        )
        if trial.rollout.is_new(endpoint):
            self._schedule_local_evidence(trial)
            for _ in range(failures):
                self._metrics.count(Metric.TRIAL_FAILURES, endpoint.service)

    def receive(self, update: RolloutNews) -> None:
        """Merge the evidence of other hosts and forward what is new."""
        for trial in self._trials_by_service.values():
            if trial.order.id != update.order_id:
                continue
            for evidence in update.hosts:
                if trial.receive(evidence):
                    key = (update.order_id, evidence.host_id, evidence.life)
                    self._sends_left[key] = SENT_STEPS

    async def run(self) -> None:
        """Run the steps of active roll-outs; never returns.

        Without an active roll-out it waits for an order.
        """
        while True:
            active = [
                trial
                for trial in self._trials_by_service.values()
                if not trial.rollout.is_over
            ]
            if not active:
                self._sends_left.clear()
                self._has_order.clear()
                await self._has_order.wait()
                continue
            for trial in active:
                await self._run_step(trial)
            await self._clock.sleep(TICK)

    async def _run_step(self, trial: RolloutTrial) -> None:
        endpoints = self._catalog.endpoints_of(trial.order.service)
        usable = {item.id for item in endpoints if self._fleet.is_healthy(item.id)}
        trial.select_endpoints(endpoints, usable)
        verdict = trial.judge()
        if verdict.is_bad:
            trial.reject(verdict.reason)
        self._publish_state(trial)
        await self._gossip(trial)
        state = self._decide(trial, is_good=verdict.is_good)
        if state is not None:
            await self._try_record(trial, state)

    def _decide(self, trial: RolloutTrial, *, is_good: bool) -> RecordedState | None:
        """Return the state that this host must record now, or None."""
        rollout = trial.rollout
        now = self._clock.monotonic()
        match rollout.state:
            case RolloutState.ROLLING_BACK:
                is_due = self._is_turn(trial, rollout.state_since)
                return RecordedState.ROLLED_BACK if is_due else None
            case RolloutState.WAITING if self._is_turn(trial, rollout.must_end_at):
                trial.reject("no endpoint of the version appeared")
            case RolloutState.TRYING if self._is_turn(trial, rollout.trial_ends_at):
                if is_good:
                    return RecordedState.MOVING
                trial.reject("not accepted by the end of the trial")
            case RolloutState.COMPLETING:
                has_moved = self._has_moved(trial)
                ends_at = now if has_moved else rollout.must_end_at
                if now >= ends_at and self._is_turn(trial, rollout.state_since):
                    return RecordedState.COMPLETED
        return None

    def _has_moved(self, trial: RolloutTrial) -> bool:
        """Return whether no reachable host uses the old version any more.

        That is the case once each has reported that it moves and has no open requests
        at the old version.
        """
        if self._clock.monotonic() - trial.rollout.state_since < MIN_MOVE:
            return False
        ids = [self._host_id, *(row.host_id for row in self._roster.others())]
        newest = (trial.evidence_table.newest_of(host_id) for host_id in ids)
        return all(
            item is not None
            and item.state == RolloutState.COMPLETING
            and not item.open_before
            for item in newest
        )

    def _is_turn(self, trial: RolloutTrial, since: timedelta) -> bool:
        """Return whether all hosts earlier in the ranking have had time to record."""
        others = [row.host_id for row in self._roster.others()]
        order = rank_hosts(trial.order.id, [self._host_id, *others])
        wait = RECORD_STEP * order.index(self._host_id)
        return self._clock.monotonic() >= since + wait

    async def _try_record(self, trial: RolloutTrial, state: RecordedState) -> None:
        service = trial.order.service
        now = self._clock.monotonic()
        if now < self._record_at_by_service.get(service, now):
            return
        self._record_at_by_service[service] = now + RECORD_RETRY
        fields = {"order": trial.order.id, "state": state}
        try:
            await self._record(trial.rollout.record, state)
        except PlatformError as error:
            log_event("rollout", "Recording the state failed.", **fields, why=error)
        else:
            log_event("rollout", "State recorded.", **fields)

    def record_endpoint(self, endpoint: Endpoint) -> None:
        """Record the version and start of a new or restarted endpoint."""
        known = self._oldest_by_service.get(endpoint.service)
        if known is None or endpoint.incarnation < known.incarnation:
            self._oldest_by_service[endpoint.service] = endpoint
        key = (endpoint.service, endpoint.software)
        self._seen_at_by_version.setdefault(key, self._clock.monotonic())

    def _may_await_order(self, endpoint: Endpoint) -> bool:
        """Return whether an order for an endpoint's version may still arrive.

        While that is so, a new version gets no requests, and the version of the
        endpoint that started first serves alone. The wait is longer if this host may
        lack orders. It is bounded, since the waiting endpoints are idle capacity.
        """
        oldest = self._oldest_by_service.get(endpoint.service)
        if oldest is None or oldest.software == endpoint.software:
            return False
        key = (endpoint.service, endpoint.software)
        age = self._clock.monotonic() - self._seen_at_by_version.get(key, LONG_AGO)
        if age >= MAX_ORDER_WAIT or (age >= ORDER_WAIT and self._is_current()):
            return False
        return self._has_version(endpoint.service, oldest.software)

    def _has_version(self, service: str, software: str) -> bool:
        endpoints = self._catalog.endpoints_of(service)
        return any(item.software == software for item in endpoints)

    def _has_other_version(self, endpoint: Endpoint) -> bool:
        endpoints = self._catalog.endpoints_of(endpoint.service)
        return any(item.software != endpoint.software for item in endpoints)

    def _publish_state(self, trial: RolloutTrial) -> None:
        """Schedule this host's evidence for sending if it changed or is due."""
        local = trial.evidence_table.local
        open_before = self._fleet.count_open(
            trial.order.service, lambda endpoint: not trial.rollout.is_new(endpoint)
        )
        state = trial.rollout.state
        is_moving = state is RolloutState.COMPLETING
        open_before = open_before if is_moving else 0
        if (local.state, local.open_before) != (state, open_before):
            trial.evidence_table.publish(state=str(state), open_before=open_before)
            self._schedule_local_evidence(trial)
        elif self._clock.monotonic() - self._local_sent_at >= SEND_INTERVAL:
            self._schedule_local_evidence(trial)

    def _schedule_local_evidence(self, trial: RolloutTrial) -> None:
        local = trial.evidence_table.local
        self._local_sent_at = self._clock.monotonic()
        self._sends_left[trial.order.id, local.host_id, local.life] = SENT_STEPS

    async def _gossip(self, trial: RolloutTrial) -> None:
        """Send evidence that has sends left to some linked hosts."""
        fresh = [
            item
            for item in trial.evidence_table.hosts()
            if self._sends_left.get((trial.order.id, item.host_id, item.life))
        ]
        if not fresh:
            return
        for item in fresh:
            self._sends_left[trial.order.id, item.host_id, item.life] -= 1
        linked = [row.host_id for row in self._roster.linked()]
        targets = self._rng.sample(linked, min(FANOUT, len(linked)))
        await self._peers.send_message(
            targets, RolloutNews(order_id=trial.order.id, hosts=fresh)
        )

    def _withdraw(self, trial: RolloutTrial, *, why: str) -> None:
        self._loans.stop_lending(trial.order.id)
        if not trial.rollout.is_over:
            trial.send("withdraw", why=why)
