"""In-process implementation of the engine interface, for virtual time."""

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
CHARACTERS_PER_TOKEN = 4


@attrs.frozen(kw_only=True)
class EngineSpeed:
    """Speed and capacity of an engine.

    Attributes:
        step: Interval between two tokens of a stream, without crowding.
        crowding: Share of ``step`` that each running stream adds to the interval.
        prefill_rate: Prefill speed in tokens per second; prompts are prefilled
            one after the other.
        max_batch: Maximum number of running streams; others queue by priority.
        prefixes: Maximum number of cached prompt prefixes.
        report_lag: Age of the load that is reported.
    """

    step: timedelta = timedelta(milliseconds=12)
    crowding: float = 0.02
    prefill_rate: float = 20_000
    max_batch: int = 64
    prefixes: int = 32
    report_lag: timedelta = timedelta(milliseconds=500)


@attrs.define(kw_only=True)
class EngineCounts:
    """Counters of an engine: tokens, prefix cache hits and requests."""

    prefilled: int = 0
    generated: int = 0
    prefix_hits: int = 0
    requests: int = 0


class FakeEngine:
    """Engine modelled as an admission queue, a serial prefill and a batch.

    Args:
        name: Endpoint id of the engine.
        clock: Clock that the engine's delays follow.
        speed: Speed and capacity; the defaults of EngineSpeed if None.
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
        """Crash: lose all streams and refuse connections until ``restart``."""
        self.is_dead = True
        for future in list(self._open):
            _wake(future)

    def restart(self) -> None:
        """Accept connections again, with an empty prefix cache."""
        self.is_dead = False
        self._prefixes.clear()

    def freeze(self, *, mute: bool = True) -> None:
        """Stop all streams until ``thaw``.

        Args:
            mute: Whether probes are left unanswered as well.
        """
        self.is_frozen = True
        self.is_mute = mute

    def thaw(self) -> None:
        """Resume the streams and answer probes again."""
        self.is_frozen = False
        for future in self._frozen:
            _wake(future)
        self._frozen.clear()

    async def generate(
        self, request: GenerationRequest, attempt: Attempt, prior: Sequence[int]
    ) -> "FakeStream":
        """Run a request, continuing after the prior token ids."""
        if self.is_dead:
            raise self._lost(LossKind.UNREACHABLE, "connect")
        self.counts.requests += 1
        return FakeStream(self._produce(request, len(prior)), self._report())

    async def attach(
        self, request: GenerationRequest, attempt: Attempt, *, position: int
    ) -> "FakeStream":
        """Fail: this engine keeps no streams for callers that disconnected."""
        kind = LossKind.UNREACHABLE if self.is_dead else LossKind.REFUSED
        raise self._lost(kind, "attach")

    async def _produce(
        self, request: GenerationRequest, prior: int
    ) -> AsyncIterator[list[TokenEvent]]:
        await self._enter_batch(request.priority.engine_rank(is_resumed=bool(prior)))
        try:
            await self._prefill(request, prior)
            for position in range(prior, request.max_tokens):
                slowdown = 1 + self.speed.crowding * self.running
                await self._wait(self.speed.step * slowdown)
                self.counts.generated += 1
                yield [_make_event(request, position)]
        finally:
            self._leave_batch()

    async def cancel(self, generation_id: str, attempt: int) -> None:
        """Do nothing: closing a stream ends its run."""

    async def copy_run(self, generation_id: str, target: str) -> str:
        """Fail: this engine makes no copies of runs."""
        raise self._lost(LossKind.REFUSED, "copy")

    async def drop_copy(self, replica_ref: str, target: str) -> None:
        """Do nothing: there are no copies."""

    async def count_waiting(self) -> int:
        """Return the number of queued runs in the lagging load report."""
        report = await self.probe()
        if report is None:
            raise self._lost(LossKind.FROZEN, "report")
        return report.queued

    async def list_cached_prompts(self) -> tuple[str, ...]:
        """Return no prompts: this engine does not report its cache."""
        return ()

    async def is_reachable(self) -> bool:
        """Return whether the engine answers a probe."""
        return await self.probe() is not None

    async def probe(self) -> LoadReport | None:
        """Return a lagging load report, or None while dead or frozen and mute."""
        if self.is_dead or (self.is_frozen and self.is_mute):
            await self._clock.sleep(PROBE_TIMEOUT)
            return None
        return self._report()

    def _report(self) -> LoadReport:
        """Return the newest recorded load that is as old as the lag.

        The step counter is current. Without a load that old, the oldest one is
        returned.
        """
        now = self._clock.monotonic()
        step = int(now / self.speed.step)
        current = LoadReport(running=self.running, queued=len(self._queue), step=step)
        self._reports.append((now, current))
        until = now - self.speed.report_lag
        while len(self._reports) > 1 and self._reports[1][0] <= until:
            self._reports.popleft()
        lagging = self._reports[0][1]
        return LoadReport(running=lagging.running, queued=lagging.queued, step=step)

    async def _enter_batch(self, priority: int) -> None:
        if self.running < self.speed.max_batch:
            self.running += 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (priority, next(self._numbers), future))
        await self._wait_alive(future)

    def _leave_batch(self) -> None:
        while self._queue:
            _, _, future = heapq.heappop(self._queue)
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1

    async def _prefill(self, request: GenerationRequest, prior: int) -> None:
        tokens = len(request.prompt) // CHARACTERS_PER_TOKEN + prior
        prefix = request.prompt[:PREFIX_CHARACTERS]
        if prefix in self._prefixes:
            self.counts.prefix_hits += 1
            tokens -= len(prefix) // CHARACTERS_PER_TOKEN
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
        """Wait for a duration and while frozen; raise at once on a crash."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        timer = loop.call_later(duration.total_seconds(), _wake, future)
        try:
            await self._wait_alive(future)
        finally:
            timer.cancel()
        if self.is_frozen:
            thawed = loop.create_future()
            self._frozen.append(thawed)
            await self._wait_alive(thawed)

    async def _wait_alive(self, future: "asyncio.Future[None]") -> None:
        """Wait for a future; raise AttemptLostError if the engine crashes first."""
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
    """Output of one attempt, read from a generator.

    Args:
        events: Generator of the batches of events that arrive together.
        report: Load report sent with the start of the stream.
    """

    def __init__(
        self, events: AsyncIterator[list[TokenEvent]], report: LoadReport
    ) -> None:
        self.report = report
        self._events = events
        self._closing: asyncio.Task[None] | None = None

    async def read(self) -> list[TokenEvent]:
        """Return the next batch of events, or an empty list at the end."""
        return await anext(self._events, [])

    def close(self) -> None:
        """Close the generator, so that its run leaves the engine's batch."""
        self._closing = asyncio.ensure_future(self._events.aclose())


def _wake(future: "asyncio.Future[None]") -> None:
    if not future.done():
        future.set_result(None)


def text_of(position: int) -> str:
    """Return the text of the token at a position."""
    return f"{position} "


def expected_text(tokens: int) -> str:
    """Return the complete answer with a given number of tokens."""
    return "".join(text_of(position) for position in range(tokens))


def _make_event(request: GenerationRequest, position: int) -> TokenEvent:
    is_last = position + 1 == request.max_tokens
    return TokenEvent(
        position=position,
        token_ids=[position],
        text_offset=_text_offset(position),
        text=text_of(position),
        finish_reason="length" if is_last else None,
        prompt_tokens=len(request.prompt) // CHARACTERS_PER_TOKEN,
    )


def _text_offset(position: int) -> int:
    """Return the number of characters before a token position."""
    offset, digits, start = 0, 1, 0
    while position > start:
        end = min(position, 10**digits)
        offset += (end - start) * (digits + 1)
        start, digits = end, digits + 1
    return offset
