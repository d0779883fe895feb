"""Simulates a roll-out on a fleet of hosts in virtual time.

The roll-outs run the real code. Callers, answers, links between hosts, the store and
its watch are models, with injected faults.
"""

import asyncio
import random
from collections.abc import Collection, Sequence
from datetime import timedelta

import attrs

from passtally.budget_loans import BudgetLoans
from passtally.messages import MemberRow, Message, RolloutNews
from passtally.object_store import ConflictError, UnavailableError
from passtally.objects import Endpoint, Service, ServiceKind
from passtally.peers import PeerError, RequestHandler
from passtally.rollout import RecordedState, RolloutOrder, RolloutRecord
from passtally.rollouts import Rollouts
from passtally.roster import choose_links
from passtally.service_index import ServiceIndex
from passtally.version_judge import VersionJudge
from standins.virtual import VirtualClock, run_virtually

SERVICE = "s"
OLD, NEW = "v1", "v2"
DOMAINS = ("pilar", "tigre", "escobar")
#: The limits on requests to a bad version: a fraction of all requests, and a number of
#: further ones. The first deployment with roll-outs requires them.
SHARE = 0.1
SLACK = 50
#: Time from the order until the endpoints of the new version appear, in seconds.
BOOT_SECONDS = 0.8


@attrs.frozen(kw_only=True)
class VersionBehaviour:
    """How the endpoints of a version answer.

    Attributes:
        failing: The fraction of answers that fail.
        slower: The factor by which slow answers take longer than normal ones.
        slow_part: The fraction of answers that are slow.
        from_second: The time after the order from which faults occur, in seconds.
        on_route: The only route with faults; empty for all routes.
    """

    failing: float = 0.0
    slower: float = 1.0
    slow_part: float = 1.0
    from_second: float = 0.0
    on_route: str = ""

    @property
    def is_bad(self) -> bool:
        """Whether the version fails or slows down any answers."""
        return self.failing > 0 or self.slower > 1


@attrs.frozen(kw_only=True)
class RolloutScenario:
    """The parameters of a simulated roll-out.

    Attributes:
        seed: The seed of all random choices.
        hosts: The number of hosts.
        endpoints: The number of endpoints of each version.
        per_second: The number of requests per second.
        within: The order's time, in seconds.
        version: The behaviour of the new version.
        baseline_failing: The fraction of answers that fail with either version.
        host_crashes: The number of hosts that crash and restart, one after the other.
        partitioned_hosts: The fraction of hosts that are partitioned from all other
            hosts and the store for three seconds.
        store_down: The duration of a store outage in seconds, starting two seconds
            after the order.
        faulty_endpoints: The number of faulty endpoints of the new version, which fail
            40 % of their requests.
    """

    seed: int
    hosts: int = 6
    endpoints: int = 12
    per_second: float = 60.0
    within: float = 12.0
    version: VersionBehaviour = VersionBehaviour()
    baseline_failing: float = 0.02
    host_crashes: int = 0
    partitioned_hosts: float = 0.0
    store_down: float = 0.0
    faulty_endpoints: int = 0


@attrs.define(kw_only=True)
class RolloutResult:
    """The outcome of a simulated roll-out.

    Attributes:
        requests: The number of requests within the order's time.
        sent_new: The number of these that the new version got, including those after
            its acceptance.
        bad: The number of answers that the new version failed or delayed. Faults of
            ``faulty_endpoints`` endpoints and of both versions are not included.
        after_limit: The number of requests that the new version got later than five
            seconds after its 50th bad answer.
        state: The last recorded state; None if nothing was recorded.
        ended_at: The time of the last record, in seconds after the order.
        states: All recorded states in order.
        open_at_end: The number of open requests at the old version when it is stopped.
    """

    requests: int = 0
    sent_new: int = 0
    bad: int = 0
    after_limit: int = 0
    state: RecordedState | None = None
    ended_at: float = 0.0
    states: list[RecordedState] = attrs.field(factory=list)
    open_at_end: int = 0

    @property
    def is_over_bound(self) -> bool:
        """Whether the new version got more requests than a bad one may get."""
        return self.sent_new > SHARE * self.requests + SLACK


class ModelHost:
    """A host with real roll-outs that is its own fleet, links and roster."""

    def __init__(self, model: "RolloutModel", name: str, life: int) -> None:
        self.model = model
        self.name = name
        self.domain = DOMAINS[int(name[1:]) % len(DOMAINS)]
        self.is_up = True
        self.open_at_old = 0
        self._row = MemberRow(name, self.domain, life, 0, False, "x")
        self._answerers: dict[type, RequestHandler] = {}
        self.rollouts = Rollouts(
            host_id=name,
            life=life,
            share=SHARE,
            slack=SLACK,
            min_hosts=8,
            catalog=model.catalog,
            loans=BudgetLoans(
                peers=self, roster=self, rng=random.Random(model.rng.random())
            ),
            peers=self,
            roster=self,
            clock=model.clock,
            rng=random.Random(model.rng.random()),
            record=self.record,
            judge=model.judge,
        )
        self.rollouts.set_fleet(self)
        self.task = asyncio.create_task(self.rollouts.run())

    # The interface of ``Fleet``, as used by roll-outs.

    def is_healthy(self, endpoint_id: str) -> bool:
        return True

    def count_open(self, service_id: str, is_counted) -> int:
        return self.open_at_old

    # The interfaces of ``Peers`` and ``Roster``, as used by roll-outs.

    @property
    def peak_hosts(self) -> int:
        return len(self.model.hosts)

    @property
    def row(self) -> MemberRow:
        return self._row

    def others(self) -> list[MemberRow]:
        return [
            host.row
            for host in self.model.hosts.values()
            if host is not self and host.is_up
        ]

    def linked(self) -> list[MemberRow]:
        is_watching = int(self.name[1:]) < 2 * len(DOMAINS)
        return choose_links(self._row, self.others(), whole_domain=is_watching)

    def listen(self, kind: type, listener) -> None:
        self.receive = listener

    async def send_message(
        self, host_ids: Sequence[str], update: RolloutNews
    ) -> set[str]:
        for host_id in host_ids:
            self.model.deliver(self, host_id, update)
        return set(host_ids)

    def neighbours(self) -> list[MemberRow]:
        return [row for row in self.linked() if row.failure_domain == self.domain]

    def on(self, kind: type, answerer: RequestHandler) -> None:
        self._answerers[kind] = answerer

    async def ask(self, host_id: str, message: Message, *, timeout: timedelta):
        await asyncio.sleep(0.002)
        asked = self.model.hosts[host_id]
        is_partitioned = (
            self.name in self.model.partitioned or host_id in self.model.partitioned
        )
        if is_partitioned or not asked.is_up:
            raise PeerError("no answer", step="ask", peer=host_id)
        return await asked.answer(message)

    async def answer(self, message: Message) -> Message:
        return await self._answerers[type(message)](message)

    async def record(self, record: RolloutRecord, state: RecordedState) -> None:
        await self.model.write(self, record, state)


class RolloutModel:
    """Simulates one roll-out; run it on the event loop of ``run_virtually``."""

    def __init__(
        self, play: RolloutScenario, *, judge: VersionJudge | None = None
    ) -> None:
        self.play = play
        self.judge = judge or VersionJudge()
        self.rng = random.Random(play.seed)
        self.clock = VirtualClock()
        self.catalog = ServiceIndex()
        self.catalog.put_service(Service(id=SERVICE, kind=ServiceKind.MODEL))
        self.hosts: dict[str, ModelHost] = {}
        self.result = RolloutResult()
        self.partitioned: Collection[str] = ()
        self.is_store_down = False
        self.record: RolloutRecord | None = None
        self.ordered_at = 0.0
        self._bad_limit_at: float | None = None
        self._faulty_ids: Collection[str] = ()
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> RolloutResult:
        """Run the simulation until two seconds after the order's time."""
        play = self.play
        for number in range(play.hosts):
            self._start_host(f"h{number}", life=1)
        self._add_endpoints(OLD)
        self._spawn(self._send_requests())
        await asyncio.sleep(3)
        self._order()
        self._spawn(self._inject_faults())
        await asyncio.sleep(BOOT_SECONDS)
        self._add_endpoints(NEW)
        await asyncio.sleep(play.within + 2 - BOOT_SECONDS)
        return self.result

    # The order and the store.

    def _order(self) -> None:
        order = RolloutOrder(
            id="o",
            service=SERVICE,
            version=NEW,
            within=timedelta(seconds=self.play.within),
        )
        self.ordered_at = self._now()
        self.record = RolloutRecord(order=order, state=None, object_version=1)
        self._publish()

    async def write(
        self, host: ModelHost, record: RolloutRecord, state: RecordedState
    ) -> None:
        """Record a state in the store, unless the order has changed meanwhile."""
        await asyncio.sleep(self.rng.uniform(0.004, 0.05))
        if self.is_store_down or host.name in self.partitioned:
            raise UnavailableError("down", step="status", peer="model")
        if record.object_version != self.record.object_version:
            raise ConflictError("changed", step="status", peer="model")
        self.record = attrs.evolve(
            self.record, state=state, object_version=record.object_version + 1
        )
        self.result.states.append(state)
        self.result.state = state
        self.result.ended_at = self._now() - self.ordered_at
        if state is RecordedState.COMPLETED:
            self.result.open_at_end = sum(
                host.open_at_old for host in self.hosts.values()
            )
        self._publish()

    def _publish(self) -> None:
        for host in self.hosts.values():
            self._spawn(self._deliver_record(host, self.record))

    async def _deliver_record(self, host: ModelHost, record: RolloutRecord) -> None:
        await asyncio.sleep(self.rng.uniform(0.02, 0.5))
        while host.is_up and host.name in self.partitioned:
            await asyncio.sleep(0.2)
        object_version = record.object_version
        if host.is_up and object_version >= getattr(host, "version", 0):
            host.version = object_version
            host.rollouts.apply_record(record)

    # Hosts and their faults.

    def deliver(self, sender: ModelHost, host_id: str, update: RolloutNews) -> None:
        """Deliver a message with a delay, unless sender or receiver is partitioned."""
        receiver = self.hosts[host_id]
        if sender.name in self.partitioned or host_id in self.partitioned:
            return
        delay = self.rng.uniform(0.001, 0.02)
        asyncio.get_running_loop().call_later(delay, self._arrive, receiver, update)

    @staticmethod
    def _arrive(receiver: ModelHost, update: RolloutNews) -> None:
        if receiver.is_up:
            receiver.receive(update)

    def _start_host(self, name: str, *, life: int) -> None:
        self.hosts[name] = ModelHost(self, name, life)
        if self.record is not None:
            self._spawn(self._deliver_record(self.hosts[name], self.record))

    async def _inject_faults(self) -> None:
        play = self.play
        if play.store_down:
            self._spawn(self._lose_store())
        if play.partitioned_hosts:
            self._spawn(self._partition())
        for number in range(play.host_crashes):
            await asyncio.sleep(self.rng.uniform(0.3, 1.2))
            name = self.rng.choice(list(self.hosts))
            host = self.hosts[name]
            host.is_up = False
            host.task.cancel()
            await asyncio.sleep(0.3)
            self._start_host(name, life=number + 2)

    async def _lose_store(self) -> None:
        await asyncio.sleep(2)
        self.is_store_down = True
        await asyncio.sleep(self.play.store_down)
        self.is_store_down = False

    async def _partition(self) -> None:
        await asyncio.sleep(self.rng.uniform(0, 4))
        names = sorted(self.hosts)
        count = round(self.play.partitioned_hosts * len(names))
        self.partitioned = frozenset(self.rng.sample(names, count))
        await asyncio.sleep(3)
        self.partitioned = ()

    # Callers and answers.

    def _add_endpoints(self, software: str) -> None:
        names = [f"{software}-{number}" for number in range(self.play.endpoints)]
        for name in names:
            self.catalog.put_endpoint(
                Endpoint(
                    id=name,
                    service=SERVICE,
                    url=f"http://{name}",
                    failure_domain=self.rng.choice(DOMAINS),
                    software=software,
                )
            )
        if software == NEW:
            self._faulty_ids = frozenset(
                self.rng.sample(names, self.play.faulty_endpoints)
            )

    async def _send_requests(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(self.play.per_second))
            host = self.rng.choice(list(self.hosts.values()))
            if host.is_up:
                self._spawn(self._send(host))

    async def _send(self, host: ModelHost) -> None:
        route = self.rng.choice(("r1", "r2"))
        endpoint = self._choose(host)
        if endpoint is None:
            return
        self._count(endpoint)
        baseline = self.rng.lognormvariate(0, 0.5) * 0.05
        is_bad, took = self._answer(endpoint, route, baseline)
        is_old = endpoint.software == OLD
        host.open_at_old += is_old
        await asyncio.sleep(took)
        host.open_at_old -= is_old
        fails = is_bad or self.rng.random() < self.play.baseline_failing
        if host.is_up:
            host.rollouts.record_answer(
                endpoint,
                route=route,
                answers=1,
                failures=int(fails),
                took=timedelta(seconds=took),
            )

    def _choose(self, host: ModelHost) -> Endpoint | None:
        endpoints = self.catalog.endpoints_of(SERVICE)
        if host.rollouts.acquire_trial(SERVICE):
            tried = [item for item in endpoints if host.rollouts.accepts_trials(item)]
            return self.rng.choice(tried)
        allowed = [item for item in endpoints if host.rollouts.allows(item)]
        return self.rng.choice(allowed) if allowed else None

    def _answer(
        self, endpoint: Endpoint, route: str, baseline: float
    ) -> tuple[bool, float]:
        """Return whether the endpoint fails a request, and the answer time in seconds.

        Args:
            endpoint: The endpoint.
            route: The route of the request.
            baseline: The normal answer time, in seconds.
        """
        if endpoint.software == OLD:
            return False, baseline
        if endpoint.id in self._faulty_ids and self.rng.random() < 0.4:
            return True, baseline
        version = self.play.version
        age = self._now() - self.ordered_at
        if age < version.from_second or version.on_route not in ("", route):
            return False, baseline
        fails = self.rng.random() < version.failing
        is_slow = version.slower > 1 and self.rng.random() < version.slow_part
        if fails or is_slow:
            self._record_bad()
        return fails, baseline * (version.slower if is_slow else 1)

    def _count(self, endpoint: Endpoint) -> None:
        if not self.ordered_at or self._now() > self.ordered_at + self.play.within:
            return
        self.result.requests += 1
        if endpoint.software == OLD:
            return
        self.result.sent_new += 1
        limit = self._bad_limit_at
        if limit is not None and self._now() > limit + 5:
            self.result.after_limit += 1

    def _record_bad(self) -> None:
        self.result.bad += 1
        if self.result.bad == 50:
            self._bad_limit_at = self._now()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def simulate_rollout(
    play: RolloutScenario, *, judge: VersionJudge | None = None
) -> RolloutResult:
    """Run a simulated roll-out in virtual time and return its outcome."""

    async def main() -> RolloutResult:
        return await RolloutModel(play, judge=judge).run()

    return run_virtually(main())
