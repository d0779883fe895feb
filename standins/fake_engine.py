"""A model engine at the interface, without a process: for virtual time."""

import asyncio
import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import AsyncIterator, Sequence
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.engine import AttemptLostError, LoadReport
from passtally.generation import Attempt, GenerationRequest, TokenEvent
from passtally.http_engine import PROBE_TIMEOUT
from passtally.retry import LossKind

PREFIX_CHARACTERS = 256
CHARACTERS_A_TOKEN = 4


@attrs.frozen(kw_only=True)
class EngineSpeed:
    """How fast an engine is.

    Attributes:
        step: Between two tokens of a stream that is alone.
        crowding: The share by which each further stream slows a step.
        prefill_rate: Prompt tokens a second, one prompt after the other.
        max_batch: Streams that decode at once; others queue by priority.
        prefixes: Prompt prefixes that stay cached.
        report_lag: By how much the load report lags.
    """

    step: timedelta = timedelta(milliseconds=12)
    crowding: float = 0.02
    prefill_rate: float = 20_000
    max_batch: int = 64
    prefixes: int = 32
    report_lag: timedelta = timedelta(milliseconds=500)


@attrs.define(kw_only=True)
class EngineCounts:
    """What an engine did."""

    prefilled: int = 0
    generated: int = 0
    prefix_hits: int = 0
    requests: int = 0


class FakeEngine:
    """One engine as a queue, a prefill line and a batch.

    Args:
        name: Its endpoint's id.
        clock: The clock.
        speed: How fast it is.
    """

    reports_load = True
    keeps_streams = True

    def __init__(
        self, *, name: str, clock: Clock, speed: EngineSpeed | None = None
    ) -> None:
        self.name = name
        self.counts = EngineCounts()
        self.speed = speed or EngineSpeed()
        self.is_dead = False
        self.running = 0
        self._clock = clock
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()
        self._prefill_free_at = timedelta(0)
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self.is_frozen = False
        self.is_mute = False
        self._open: set[asyncio.Future[None]] = set()
        self._frozen: list[asyncio.Future[None]] = []
        self._reports: deque[tuple[timedelta, LoadReport]] = deque()

    def die(self) -> None:
        """Lose all streams at once; refuse connections from now on."""
        self.is_dead = True
        for future in list(self._open):
            _wake(future)

    def restart(self) -> None:
        """Come back empty."""
        self.is_dead = False
        self._prefixes.clear()

    def freeze(self, *, mute: bool = True) -> None:
        """Stop until thawed.

        Args:
            mute: Whether probes get no answer either.
        """
        self.is_frozen = True
        self.is_mute = mute

    def thaw(self) -> None:
        """Go on."""
        self.is_frozen = False
        for future in self._frozen:
            _wake(future)
        self._frozen.clear()

    async def generate(
        self, request: GenerationRequest, attempt: Attempt, prior: Sequence[int]
    ) -> "FakeStream":
        """Run a request, going on after the prior token ids."""
        if self.is_dead:
            raise self._lost(LossKind.UNREACHABLE, "connect")
        self.counts.requests += 1
        return FakeStream(self._produce(request, len(prior)), self._report())

    async def attach(
        self, request: GenerationRequest, attempt: Attempt, *, position: int
    ) -> "FakeStream":
        """Refuse: this engine holds no streams."""
        kind = LossKind.UNREACHABLE if self.is_dead else LossKind.REFUSED
        raise self._lost(kind, "attach")

    async def _produce(
        self, request: GenerationRequest, prior: int
    ) -> AsyncIterator[list[TokenEvent]]:
        await self._enter(request.priority)
        try:
            await self._prefill(request, prior)
            for position in range(prior, request.max_tokens):
                crowd = 1 + self.speed.crowding * self.running
                await self._wait(self.speed.step * crowd)
                self.counts.generated += 1
                yield [_make_event(request, position)]
        finally:
            self._leave()

    async def cancel(self, generation_id: str, attempt: int) -> None:
        """Do nothing: a stream ends with its reader here."""

    async def copy_run(self, generation_id: str, target: str) -> str:
        """Refuse: this engine keeps no copies."""
        raise self._lost(LossKind.REFUSED, "copy")

    async def drop_copy(self, replica_ref: str, target: str) -> None:
        """Do nothing: there are no copies."""

    async def count_waiting(self) -> int:
        """Return how many runs are queued there."""
        report = await self.probe()
        if report is None:
            raise self._lost(LossKind.FROZEN, "report")
        return report.queued

    async def list_cached_prompts(self) -> tuple[str, ...]:
        """Return the prompts that it keeps."""
        return ()

    async def is_reachable(self) -> bool:
        """Return whether it answers a probe."""
        return await self.probe() is not None

    async def probe(self) -> LoadReport | None:
        """Return a load report that lags, or None while frozen or dead."""
        if self.is_dead or (self.is_frozen and self.is_mute):
            await self._clock.sleep(PROBE_TIMEOUT)
            return None
        return self._report()

    def _report(self) -> LoadReport:
        """Return the newest load that is as old as the lag."""
        now = self._clock.monotonic()
        step = int(now / self.speed.step)
        current = LoadReport(running=self.running, queued=len(self._queue), step=step)
        self._reports.append((now, current))
        until = now - self.speed.report_lag
        while len(self._reports) > 1 and self._reports[1][0] <= until:
            self._reports.popleft()
        shown = self._reports[0][1]
        return LoadReport(running=shown.running, queued=shown.queued, step=step)

    async def _enter(self, priority: int) -> None:
        if self.running < self.speed.max_batch:
            self.running += 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (priority, next(self._numbers), future))
        await self._outlive(future)

    def _leave(self) -> None:
        while self._queue:
            _, _, future = heapq.heappop(self._queue)
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1

    async def _prefill(self, request: GenerationRequest, prior: int) -> None:
        tokens = len(request.prompt) // CHARACTERS_A_TOKEN + prior
        prefix = request.prompt[:PREFIX_CHARACTERS]
        if prefix in self._prefixes:
            self.counts.prefix_hits += 1
            tokens -= len(prefix) // CHARACTERS_A_TOKEN
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self.speed.prefixes:
            self._prefixes.popitem(last=False)
        self.counts.prefilled += tokens
        now = self._clock.monotonic()
        start = max(now, self._prefill_free_at)
        duration = timedelta(seconds=tokens / self.speed.prefill_rate)
        self._prefill_free_at = start + duration
        await self._wait(self._prefill_free_at - now)

    async def _wait(self, duration: timedelta) -> None:
        """Let time pass, and more while frozen; end at once when it dies."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        timer = loop.call_later(duration.total_seconds(), _wake, future)
        try:
            await self._outlive(future)
        finally:
            timer.cancel()
        if self.is_frozen:
            thawed = loop.create_future()
            self._frozen.append(thawed)
            await self._outlive(thawed)

    async def _outlive(self, future: "asyncio.Future[None]") -> None:
        """Wait for a future, unless this engine dies before."""
        self._open.add(future)
        try:
            await future
        finally:
            self._open.discard(future)
        if self.is_dead:
            raise self._lost(LossKind.RESET, "stream")

    def _lost(self, kind: LossKind, step: str) -> AttemptLostError:
        return AttemptLostError(kind, step=step, peer=self.name, detail="fake")


class FakeStream:
    """The output of one attempt, from a generator.

    Args:
        events: Yields what arrives together.
        report: The load report that comes with it.
    """

    def __init__(
        self, events: AsyncIterator[list[TokenEvent]], report: LoadReport
    ) -> None:
        self.report = report
        self._events = events
        self._closing: asyncio.Task[None] | None = None

    async def read(self) -> list[TokenEvent]:
        """Return the events that arrived together; none once it has ended."""
        return await anext(self._events, [])

    def close(self) -> None:
        """End the generator, so that it leaves its engine."""
        self._closing = asyncio.ensure_future(self._events.aclose())


def _wake(future: "asyncio.Future[None]") -> None:
    if not future.done():
        future.set_result(None)


def text_of(position: int) -> str:
    """Return the text of the token at a position."""
    return f"{position} "


def expected_text(tokens: int) -> str:
    """Return the whole answer of so many tokens."""
    return "".join(text_of(position) for position in range(tokens))


def _make_event(request: GenerationRequest, position: int) -> TokenEvent:
    is_last = position + 1 == request.max_tokens
    return TokenEvent(
        position=position,
        token_ids=[position],
        text_offset=_offset_of(position),
        text=text_of(position),
        finish_reason="length" if is_last else None,
        prompt_tokens=len(request.prompt) // CHARACTERS_A_TOKEN,
    )


def _offset_of(position: int) -> int:
    """Return how many characters stand before a position."""
    offset, digits, start = 0, 1, 0
    while position > start:
        end = min(position, 10**digits)
        offset += (end - start) * (digits + 1)
        start, digits = end, digits + 1
    return offset
