"""Fake engines that keep replicas, with a fleet and a dispatcher in virtual time."""

import asyncio
from collections.abc import Mapping, Sequence
from datetime import timedelta
from types import MappingProxyType

from passtally.departures import Departures
from passtally.dispatcher import Dispatcher
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.forecast import Forecast
from passtally.generation import Attempt, Generation, GenerationRequest, TokenEvent
from passtally.messages import TokenLoad
from passtally.objects import Endpoint, Service, ServiceKind
from passtally.origin import Origin
from passtally.placement import Placement
from passtally.retry import LossKind, RetryLimits
from passtally.retry_budget import ServiceBudgets
from passtally.silence import Phase, SilenceBounds
from passtally.survey import Survey
from standins.virtual import VirtualClock
from tests.fakes import make_catalog

EVENTS = 60


class EngineCluster:
    """Fake engines that keep replicas of each other's runs and fail on demand."""

    def __init__(self) -> None:
        self.by_id: dict[str, ReplicaEngine] = {}
        self.read_prompts = 0
        self.opened: list[tuple[str, str]] = []

    def connect(self, endpoint: Endpoint) -> "ReplicaEngine":
        return self.by_id.setdefault(endpoint.id, ReplicaEngine(endpoint.id, self))


class ReplicaEngine:
    """Fake engine at one endpoint, with flags for its failures."""

    reports_load = False
    keeps_streams = False

    def __init__(self, name: str, engines: EngineCluster) -> None:
        self.name = name
        self.engines = engines
        self.is_dead = False
        self.hangs = False
        #: Whether it accepts no new connections while its streams continue.
        self.is_deaf = False
        self.replaced_by = ""
        self.waiting_runs = 0
        self.cached_prompts: set[str] = set()
        self.prompt_queries = 0
        self.replicas: set[str] = set()
        self.copies = 0
        self.streams: list[ReplicaStream] = []

    async def generate(
        self, request: GenerationRequest, attempt: Attempt, prior: Sequence[int]
    ) -> "ReplicaStream":
        self.engines.read_prompts += 1
        return self._open("read", request, attempt, len(prior))

    async def attach(
        self, request: GenerationRequest, attempt: Attempt, *, position: int
    ) -> "ReplicaStream":
        self._check()
        if attempt.resume_ref not in self.replicas:
            raise self.lost(LossKind.REFUSED)
        return self._open("attach", request, attempt, position)

    async def cancel(self, generation_id: str, attempt: int) -> None:
        pass

    async def copy_run(self, generation_id: str, target: str) -> str:
        self._check()
        self.copies += 1
        ref = f"copy-{self.name}-{target}"
        self.engines.by_id[target].replicas.add(ref)
        return ref

    async def drop_copy(self, replica_ref: str, target: str) -> None:
        self.engines.by_id[target].replicas.discard(replica_ref)

    async def count_waiting(self) -> int:
        await asyncio.sleep(0.001)
        self._check()
        return self.waiting_runs

    async def list_cached_prompts(self) -> tuple[str, ...]:
        self.prompt_queries += 1
        self._check()
        return tuple(self.cached_prompts)

    def is_silent(self, *, since: timedelta) -> bool:
        return False

    async def is_reachable(self) -> bool:
        await asyncio.sleep(0.001)
        return not (self.is_dead or self.is_deaf)

    def die(self) -> None:
        self.is_dead = True
        self.replicas.clear()

    def lost(self, kind: LossKind) -> AttemptLostError:
        return AttemptLostError(
            kind,
            step="stream",
            peer=self.name,
            detail="test",
            successor=self.replaced_by,
        )

    def _check(self) -> None:
        if self.replaced_by:
            raise self.lost(LossKind.REPLACED)
        if self.is_dead:
            raise self.lost(LossKind.UNREACHABLE)

    def _open(
        self, how: str, request: GenerationRequest, attempt: Attempt, position: int
    ) -> "ReplicaStream":
        self._check()
        self.engines.opened.append((self.name, how))
        keeper = self.engines.by_id.get(attempt.replica_id)
        if keeper is not None and not keeper.is_dead:
            attempt.replica_ref = f"backup-{request.id}-{keeper.name}"
            keeper.replicas.add(attempt.replica_ref)
        stream = ReplicaStream(self, position)
        self.streams.append(stream)
        return stream


class ReplicaStream:
    """A run's events at intervals of 30 ms; the first takes 200 ms."""

    report = None

    def __init__(self, engine: ReplicaEngine, position: int) -> None:
        self.engine = engine
        self.position = position
        self.is_closed = False
        self._first = True

    async def read(self) -> list[TokenEvent]:
        if self.position > EVENTS:
            return []
        await asyncio.sleep(0.2 if self._first else 0.03)
        self._first = False
        while self.engine.hangs:
            await asyncio.sleep(0.01)
        if self.engine.is_dead:
            raise self.engine.lost(LossKind.RESET)
        self.position += 1
        if self.position > EVENTS:
            return [self._event(self.position - 1, [], "end")]
        return [self._event(self.position - 1, [0], None)]

    def close(self) -> None:
        self.is_closed = True

    def _event(self, position: int, tokens: list[int], end: str | None) -> TokenEvent:
        return TokenEvent(
            position=position,
            token_ids=tokens,
            text_offset=0,
            text="",
            finish_reason=end,
            payload=b"%d " % (position + 1) if tokens else b"",
        )


class ByteSink:
    """Collects the delivered bytes and measures the longest pause in seconds."""

    def __init__(self) -> None:
        self.data = b""
        self.longest = 0.0
        self._last: float | None = None

    def switch(self, generation: Generation, attempt: Attempt) -> None:
        pass

    async def write(self, deliveries) -> None:
        now = asyncio.get_running_loop().time()
        if self._last is not None:
            self.longest = max(self.longest, now - self._last)
        self._last = now
        self.data += b"".join(delivery.payload for delivery in deliveries)


#: Target time to first output. The prefill of 5,000 tokens takes 0.2 s here.
TARGET = timedelta(seconds=1)
WHOLE = b"".join(b"%d " % number for number in range(1, EVENTS + 1))
BOUNDS = {
    Phase.FIRST_TOKEN: SilenceBounds(
        initial=timedelta(seconds=0.8),
        floor=timedelta(seconds=0.8),
        ceiling=timedelta(seconds=0.8),
        stuck_after=timedelta(seconds=3),
    ),
    Phase.NEXT_TOKEN: SilenceBounds(
        initial=timedelta(seconds=0.25),
        floor=timedelta(seconds=0.2),
        ceiling=timedelta(seconds=0.3),
        stuck_after=timedelta(seconds=0.42),
    ),
}


class World:
    """Four engines in two domains, a fleet and a dispatcher.

    Args:
        most: The number of retries that the budget allows.
        survey_enabled: Whether placement asks the best candidates.
        software_by_id: The software versions of the endpoints; none if not given.
    """

    def __init__(
        self,
        *,
        most: float = 20,
        survey_enabled: bool = False,
        software_by_id: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        service = Service(id="s", kind=ServiceKind.MODEL, model="m", version="1")
        endpoints = [
            Endpoint(
                id=name,
                service="s",
                url=f"http://{name}",
                failure_domain=domain,
                software=software_by_id.get(name, ""),
            )
            for name, domain in (
                ("a1", "pilar"),
                ("a2", "pilar"),
                ("b1", "tigre"),
                ("b2", "tigre"),
            )
        ]
        self.clock = VirtualClock()
        self.engines = EngineCluster()
        self.catalog = make_catalog([service], endpoints)
        self.successors: list[str] = []
        #: Load of other hosts' runs at each endpoint.
        self.others_load = TokenLoad()
        self.departures = Departures()
        self.fleet = Fleet(
            catalog=self.catalog,
            clock=self.clock,
            connect=self.engines.connect,
            departures=self.departures,
            bounds_by_phase=BOUNDS,
            capacity_of=lambda service: 55_000,
            others_load=lambda start: self.others_load,
            on_successor=lambda ended, successor: self.successors.append(successor),
            exits_are_final=True,
        )
        self.fleet.views("s")
        forecast = Forecast()
        self.dispatcher = Dispatcher(
            fleet=self.fleet,
            clock=self.clock,
            placement=Placement(
                fleet=self.fleet,
                clock=self.clock,
                failure_domain="pilar",
                keeps_replicas=lambda service: True,
                survey=Survey(fleet=self.fleet, is_needed=lambda: survey_enabled),
                forecast=forecast,
            ),
            limits=RetryLimits(),
            budgets=ServiceBudgets(
                share=0.8,
                extra=lambda: most,
                window=timedelta(seconds=10),
                clock=self.clock,
            ),
            linger=timedelta(0),
        )
        self.sink = ByteSink()

    @property
    def budgets(self) -> ServiceBudgets:
        return self.dispatcher._budgets

    def start(
        self,
        *,
        position: int = 0,
        time_left: timedelta | None = None,
        max_attempts: int = 5,
        max_gap: timedelta | None = None,
        origin: Origin | None = None,
        stream_endpoint_id: str = "",
        holder_id: str = "",
    ) -> asyncio.Task[None]:
        self._watch = asyncio.create_task(self.fleet.watch_silence())
        request = GenerationRequest(
            id="g1",
            workspace="w",
            service="s",
            model="",
            prompt="p1",
            max_tokens=700,
            prompt_tokens=5_000,
            max_attempts=max_attempts,
            max_gap=max_gap,
            deadline=time_left and self.clock.monotonic() + time_left,
            target=TARGET,
        )
        generation = Generation(
            request=request,
            token_ids=[0] * position,
            delivered=position,
            origin=origin,
        )
        generation.holder_id = holder_id
        self.task = asyncio.create_task(
            self.dispatcher.run(
                generation, self.sink, stream_endpoint_id=stream_endpoint_id
            )
        )
        return self.task

    async def running(self, count: int = 5) -> ReplicaEngine:
        """Wait for ``count`` delivered events; return the engine that runs."""
        while self.sink.data.count(b" ") < count:
            assert not self.task.done(), self.task
            await asyncio.sleep(0.01)
        return self.engines.by_id[self.engines.opened[-1][0]]

    def keeper(self) -> ReplicaEngine:
        return next(e for e in self.engines.by_id.values() if e.replicas)
