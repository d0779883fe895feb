"""Carries roll-outs out, by hosts that agree through nothing but gossip and the store.

Each host bounds what it sends by itself, tells the others what it counted, and judges
by what it has heard. What is decided is recorded where the order came from, by the host
that gets there first: the store takes a record only of the state that it was made from.
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

#: How often a roll-out that is under way is looked at. Word of a bad version reaches 90
#: hosts in five such steps; they have five seconds after the 50th bad answer.
TICK = timedelta(milliseconds=100)
#: How many linked hosts are told at each step, and in how many steps.
FANOUT = 3
SENT_STEPS = 3
#: How often a host tells what it counted of the version before, which changes with each
#: request; what it counted of the new one it tells at once.
SEND_INTERVAL = timedelta(seconds=1)
#: How much longer each host waits than the one before it until it records what was
#: decided: a call to the store takes 4 ms, and its news 400 ms at most to come.
RECORD_STEP = timedelta(milliseconds=250)
#: The longest pause until a record that failed is tried again.
RECORD_RETRY = timedelta(seconds=1)
#: For how long a version that was not seen before waits for word of an order, which
#: comes by another way, and a moment earlier.
HELD_FOR = timedelta(seconds=1)
#: How long it waits where this host may lack orders: one that has just started hears of
#: them within a second or two from the hosts that watch.
HELD_LONGEST = timedelta(seconds=3)
#: Stands for a moment long ago.
NEVER = timedelta(days=-1)
#: How long all hosts have to hear of a move before it can be over.
MIN_MOVE = timedelta(seconds=1)

Record = Callable[[RolloutRecord, RecordedState], Awaitable[None]]


class Rollouts:
    """The roll-outs that are under way; see :class:`passtally.versions.Versions`.

    Args:
        host_id: This host.
        life: What tells this host's start from its earlier ones.
        share: The part of the requests that may go to a bad version.
        slack: How many more may.
        least_hosts: A host counts on at least this many that share that.
        catalog: The endpoints.
        loans: Lends and borrows parts of what may be sent.
        peers: The links.
        roster: Who is there.
        clock: The clock.
        rng: Where the choice of hosts that are told comes from.
        record: Records a state, unless the order has changed meanwhile.
        is_current: Returns whether this host knows all orders that others know.
        judge: Judges the answers.
        metrics: Where metrics go.
    """

    def __init__(
        self,
        *,
        host_id: str,
        life: int,
        share: float,
        slack: float,
        least_hosts: int,
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
        self._least_hosts = least_hosts
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
        #: The endpoint of each service that started first, of those seen.
        self._oldest_by_service: dict[str, Endpoint] = {}
        self._seen_at_by_version: dict[tuple[str, str], timedelta] = {}
        self._has_order = asyncio.Event()
        #: How often each host's evidence is still to be told, by order and host.
        self._steps_left: dict[tuple[str, str, int], int] = {}
        self._told_at = timedelta(0)
        self._record_at_by_service: dict[str, timedelta] = {}
        peers.listen(RolloutNews, self.receive)

    def adjust(self, *, share: float, slack: float) -> None:
        """Bound what is sent by other figures, also in roll-outs under way."""
        self._share, self._slack = share, slack
        for trial in self._trials_by_service.values():
            trial.adjust(share=share, slack=slack)

    def stop(self) -> None:
        """Withdraw all roll-outs: this host follows no orders any more."""
        for service in list(self._trials_by_service):
            self._withdraw(self._trials_by_service.pop(service), why="not followed")

    def use(self, fleet: Fleet) -> None:
        """Take the fleet whose requests are counted; it asks this object in turn."""
        self._fleet = fleet

    @property
    def under_way(self) -> int:
        """How many roll-outs have not ended."""
        trials = self._trials_by_service.values()
        return sum(not trial.rollout.is_over for trial in trials)

    @property
    def states_by_service(self) -> Mapping[str, RolloutState]:
        """Where each roll-out stands."""
        return {
            service: trial.rollout.state
            for service, trial in self._trials_by_service.items()
        }

    def take(self, record: RolloutRecord) -> None:
        """Take in an order, or what was recorded of it."""
        service = record.order.service
        trial = self._trials_by_service.get(service)
        if trial is not None and trial.order.id == record.order.id:
            trial.take(record)
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
            hosts=lambda: max(self._roster.peak, self._least_hosts),
            judge=self._judge,
            ask_others=partial(self._loans.ask, scope=record.order.id),
        )
        self._loans.lend_from(trial.budgets, scope=record.order.id)
        self._trials_by_service[service] = trial
        trial.log_state(why="ordered", within=record.order.within)
        self._has_order.set()

    def drop(self, service: str) -> None:
        """Take in that a service's order was taken back."""
        trial = self._trials_by_service.pop(service, None)
        if trial is not None:
            self._withdraw(trial, why="taken back")

    def allows(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get requests that are not counted."""
        trial = self._trials_by_service.get(endpoint.service)
        if trial is None:
            return not self._is_held(endpoint)
        if trial.allows(endpoint):
            return True
        # Long after an order no version is kept out where there is no other.
        return trial.is_past and not self._has_other_version(endpoint)

    def is_tried(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get requests that try a new version."""
        trial = self._trials_by_service.get(endpoint.service)
        return trial is not None and endpoint.id in trial.tried_ids

    def acquire_trial(self, service: str) -> bool:
        """Count a new request, and return whether it is to try a new version."""
        trial = self._trials_by_service.get(service)
        if trial is None or trial.rollout.is_over or not trial.acquire_trial():
            return False
        self._metrics.count(Metric.TRIALS, service)
        return True

    def release(self, service: str) -> None:
        """Leave a trial to another request: no endpoint could take it."""
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
        """Hear how an endpoint answered."""
        trial = self._trials_by_service.get(endpoint.service)
        if trial is None:
            return
        trial.record_answer(
            endpoint, route=route, answers=answers, failures=failures, took=took
        )
        if trial.rollout.is_new(endpoint):
            self._tell_own_soon(trial)
            for _ in range(failures):
                self._metrics.count(Metric.TRIAL_FAILURES, endpoint.service)

    def receive(self, news: RolloutNews) -> None:
        """Take in what other hosts counted and found, and hand it on."""
        for trial in self._trials_by_service.values():
            if trial.order.id != news.order_id:
                continue
            for evidence in news.hosts:
                if trial.receive(evidence):
                    key = (news.order_id, evidence.host_id, evidence.life)
                    self._steps_left[key] = SENT_STEPS

    async def run(self) -> None:
        """Look at the roll-outs under way, for ever; without one, wait for an order."""
        while True:
            active = [
                trial
                for trial in self._trials_by_service.values()
                if not trial.rollout.is_over
            ]
            if not active:
                self._steps_left.clear()
                self._has_order.clear()
                await self._has_order.wait()
                continue
            for trial in active:
                await self._look(trial)
            await self._clock.sleep(TICK)

    async def _look(self, trial: RolloutTrial) -> None:
        endpoints = self._catalog.endpoints_of(trial.order.service)
        usable = {item.id for item in endpoints if self._fleet.is_healthy(item.id)}
        trial.look(endpoints, usable)
        verdict = trial.judge()
        if verdict.is_bad:
            trial.reject(verdict.reason)
        self._tell_state(trial)
        await self._gossip(trial)
        state = self._decide(trial, is_good=verdict.is_good)
        if state is not None:
            await self._try_record(trial, state)

    def _decide(self, trial: RolloutTrial, *, is_good: bool) -> RecordedState | None:
        """Return what this host is to record now, if anything."""
        rollout = trial.rollout
        now = self._clock.monotonic()
        match rollout.state:
            case RolloutState.ROLLING_BACK:
                is_due = self._is_turn(trial, rollout.state_since)
                return RecordedState.ROLLED_BACK if is_due else None
            case RolloutState.WAITING if self._is_turn(trial, rollout.must_end_at):
                trial.reject("no endpoint of the version came")
            case RolloutState.TRYING if self._is_turn(trial, rollout.trial_ends_at):
                if is_good:
                    return RecordedState.MOVING
                trial.reject("not found good within its time")
            case RolloutState.COMPLETING:
                has_moved = self._has_moved(trial)
                ends_at = now if has_moved else rollout.must_end_at
                if now >= ends_at and self._is_turn(trial, rollout.state_since):
                    return RecordedState.COMPLETED
        return None

    def _has_moved(self, trial: RolloutTrial) -> bool:
        """Return whether no host in reach needs the version before any more."""
        if self._clock.monotonic() - trial.rollout.state_since < MIN_MOVE:
            return False
        ids = [self._host_id, *(row.host_id for row in self._roster.others())]
        told = (trial.evidence_table.newest_of(host_id) for host_id in ids)
        return all(
            item is not None
            and item.state == RolloutState.COMPLETING
            and not item.open_before
            for item in told
        )

    def _is_turn(self, trial: RolloutTrial, since: timedelta) -> bool:
        """Return whether hosts that go before this one have had their time."""
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
            log_event("rollout", "Not recorded.", **fields, why=error)
        else:
            log_event("rollout", "Recorded.", **fields)

    def meet(self, endpoint: Endpoint) -> None:
        """Take in an endpoint that is new, or started again."""
        known = self._oldest_by_service.get(endpoint.service)
        if known is None or endpoint.incarnation < known.incarnation:
            self._oldest_by_service[endpoint.service] = endpoint
        key = (endpoint.service, endpoint.software)
        self._seen_at_by_version.setdefault(key, self._clock.monotonic())

    def _is_held(self, endpoint: Endpoint) -> bool:
        """Return whether an order for an endpoint's version may be on its way.

        Of several versions that are there only the one that started first is used for a
        moment after another was seen, and a little longer while this host may lack an
        order. It is no longer than that: what is held serves nobody.
        """
        oldest = self._oldest_by_service.get(endpoint.service)
        if oldest is None or oldest.software == endpoint.software:
            return False
        key = (endpoint.service, endpoint.software)
        seen_for = self._clock.monotonic() - self._seen_at_by_version.get(key, NEVER)
        if seen_for >= HELD_LONGEST or (seen_for >= HELD_FOR and self._is_current()):
            return False
        return self._has_version(endpoint.service, oldest.software)

    def _has_version(self, service: str, software: str) -> bool:
        endpoints = self._catalog.endpoints_of(service)
        return any(item.software == software for item in endpoints)

    def _has_other_version(self, endpoint: Endpoint) -> bool:
        endpoints = self._catalog.endpoints_of(endpoint.service)
        return any(item.software != endpoint.software for item in endpoints)

    def _tell_state(self, trial: RolloutTrial) -> None:
        """Tell the others where this host stands, and now and then what it counted."""
        own = trial.evidence_table.own
        open_before = self._fleet.count_open(
            trial.order.service, lambda endpoint: not trial.rollout.is_new(endpoint)
        )
        state = trial.rollout.state
        is_moving = state is RolloutState.COMPLETING
        open_before = open_before if is_moving else 0
        if (own.state, own.open_before) != (state, open_before):
            trial.evidence_table.publish(state=str(state), open_before=open_before)
            self._tell_own_soon(trial)
        elif self._clock.monotonic() - self._told_at >= SEND_INTERVAL:
            self._tell_own_soon(trial)

    def _tell_own_soon(self, trial: RolloutTrial) -> None:
        own = trial.evidence_table.own
        self._told_at = self._clock.monotonic()
        self._steps_left[trial.order.id, own.host_id, own.life] = SENT_STEPS

    async def _gossip(self, trial: RolloutTrial) -> None:
        """Tell some linked hosts what is new."""
        fresh = [
            item
            for item in trial.evidence_table.hosts()
            if self._steps_left.get((trial.order.id, item.host_id, item.life))
        ]
        if not fresh:
            return
        for item in fresh:
            self._steps_left[trial.order.id, item.host_id, item.life] -= 1
        linked = [row.host_id for row in self._roster.linked()]
        told = self._rng.sample(linked, min(FANOUT, len(linked)))
        await self._peers.send_message(
            told, RolloutNews(order_id=trial.order.id, hosts=fresh)
        )

    def _withdraw(self, trial: RolloutTrial, *, why: str) -> None:
        self._loans.stop_lending(trial.order.id)
        if not trial.rollout.is_over:
            trial.send("withdraw", why=why)
