"""Passes one attempt's output on, under the watch for silence."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.engine import AttemptLostError, TokenStream
from passtally.generation import (
    Attempt,
    Delivery,
    Generation,
    ResumeMismatchError,
    TokenEvent,
)
from passtally.live_endpoint import LiveEndpoint, StreamGuard
from passtally.retry import LossKind

#: An estimate is enough for a budget.
CHARACTERS_A_TOKEN = 4
#: Engines take lower numbers first; new requests have 10 or more.
RESUME_PRIORITY = 0


class Sink(Protocol):
    """Where an answer goes."""

    def switch(self, generation: Generation, attempt: Attempt) -> None:
        """Learn of a new attempt before its first output."""

    async def write(self, deliveries: list[Delivery]) -> None:
        """Take new output; returns when more may come.

        Raises:
            ConnectionError: The caller left.
        """


MayFailOver = Callable[[LossKind], Awaitable[bool]]


async def always_fail_over(kind: LossKind) -> bool:
    """Let every answer go on elsewhere."""
    return True


class Relay:
    """One attempt, from its dispatch to its end or loss.

    Silence does not tell that an endpoint is lost: a host whose own link is full
    reaches none of them. An attempt is so given up for silence only where its answer
    may go on elsewhere; else it waits on, until output comes or its caller leaves.

    Args:
        generation: What runs.
        attempt: The attempt.
        live: Where it runs.
        sink: Where its output goes.
        clock: The clock.
        replica: Where a replica of its state is kept, if anywhere.
        load_changed: Called when what it takes at endpoints has changed.
        on_first: Called before its first output is passed on.
        first_limit: See :class:`passtally.live_endpoint.StreamGuard`.
        may_fail_over: Returns whether the answer may go on elsewhere once its endpoint
            is given up for silence, by how the attempt is lost then.
    """

    def __init__(
        self,
        *,
        generation: Generation,
        attempt: Attempt,
        live: LiveEndpoint,
        sink: Sink,
        clock: Clock,
        replica: LiveEndpoint | None = None,
        load_changed: Callable[[], None],
        on_first: Callable[[], None],
        first_limit: Callable[[int], timedelta | None] = lambda tokens: None,
        may_fail_over: MayFailOver = always_fail_over,
    ) -> None:
        self._generation = generation
        self._attempt = attempt
        self._live = live
        self._sink = sink
        self._clock = clock
        self._replica = replica
        self._load_changed = load_changed
        self._on_first = on_first
        self._may_fail_over = may_fail_over
        self._leaving: asyncio.Task[None] | None = None
        self._guard = StreamGuard(
            quiet_since=clock.monotonic(),
            first_limit=first_limit,
            max_gap=generation.request.max_gap,
            fingerprint=generation.request.fingerprint,
        )
        self._resuming = 0
        self._reading = 0

    @property
    def last_output_at(self) -> timedelta | None:
        """When the last output came; None before the first."""
        return self._guard.silent_since if self._guard.reads else None

    @property
    def has_begun(self) -> bool:
        """Whether output has come."""
        return self._guard.reads > 0

    async def run(self, *, attach: bool) -> None:
        """Pass the output on until the answer ends.

        Args:
            attach: Whether to take up a stream that the endpoint still holds.

        Raises:
            AttemptLostError: It can't go on.
            ConnectionError: The caller left.
        """
        live = self._live
        self._sink.switch(self._generation, self._attempt)
        if not attach:
            self._resuming = count_resume_tokens(self._generation)
            self._reading = count_prefill_tokens(self._generation)
        live.enter()
        live.resume_tokens += self._resuming
        live.prefill_tokens += self._reading
        live.guards.add(self._guard)
        held = [live] if self._replica is None else [live, self._replica]
        tokens = count_kv_tokens(self._generation)
        for endpoint in held:
            endpoint.kv_tokens += tokens
        self._load_changed()
        try:
            await self._pass_on(attach=attach)
        except ResumeMismatchError as error:
            raise self._lost(LossKind.RESUME_MISMATCH, "join", str(error)) from error
        finally:
            for endpoint in held:
                endpoint.kv_tokens -= tokens
            live.guards.discard(self._guard)
            self._end_reading()
            live.leave()
            self._load_changed()

    async def _pass_on(self, *, attach: bool) -> None:
        stream: TokenStream | None = None
        try:
            async with asyncio.timeout(None) as scope:
                self._guard.trip = lambda: self._begin_leaving(scope)
                stream = await self._open(attach=attach)
                self._attempt.begun_at = self._clock.monotonic()
                await self._read(stream)
        except TimeoutError as error:
            kind = self._guard.tripped or LossKind.FROZEN
            raise self._lost(kind, "stream", "silence") from error
        finally:
            if self._leaving is not None:
                self._leaving.remove_done_callback(self._record_left)
                self._leaving.cancel()
            if stream is not None:
                stream.close()

    def _begin_leaving(self, scope: asyncio.Timeout) -> None:
        self._leaving = asyncio.create_task(self._leave(scope))
        self._leaving.add_done_callback(self._record_left)

    def _record_left(self, leaving: asyncio.Task[None]) -> None:
        """Judge the endpoint again where asking whether to leave it failed."""
        error = None if leaving.cancelled() else leaving.exception()
        if leaving.cancelled() or error is not None:
            log_event("silence", "Not decided.", peer=self._live.endpoint.id, why=error)
            self._guard.hold(self._clock.monotonic())

    async def _leave(self, scope: asyncio.Timeout) -> None:
        """Give a silent endpoint up, or wait on there."""
        guard = self._guard
        reads = guard.reads
        may_fail_over = guard.is_lost or await self._may_fail_over(guard.tripped)
        if guard.is_lost or (may_fail_over and guard.reads == reads):
            scope.reschedule(asyncio.get_running_loop().time())
            return
        if not guard.is_held:
            log_event(
                "silence",
                "Waiting on.",
                request=self._generation.request.id,
                peer=self._live.endpoint.id,
                loss=guard.tripped,
                position=self._generation.position,
            )
        guard.hold(self._clock.monotonic())

    async def _open(self, *, attach: bool) -> TokenStream:
        generation, engine = self._generation, self._live.engine
        request = generation.request
        if generation.delivered:
            request = attrs.evolve(request, priority=RESUME_PRIORITY)
        if attach:
            position = generation.position
            return await engine.attach(request, self._attempt, position=position)
        return await engine.generate(request, self._attempt, generation.token_ids)

    async def _read(self, stream: TokenStream) -> None:
        guard = self._guard
        if stream.report is not None:
            self._live.update_report(stream.report)
        while events := await stream.read():
            guard.reads += 1
            if guard.reads == 1:
                self._record_first()
            if guard.is_held:
                guard.is_held = False
                self._live.reset_ejection()
            guard.is_waiting = False
            await self._deliver(events)
            guard.is_waiting = True

    def _record_first(self) -> None:
        self._live.reset_ejection()
        self._end_reading()
        self._load_changed()
        self._on_first()

    def _end_reading(self) -> None:
        self._live.resume_tokens -= self._resuming
        self._live.prefill_tokens -= self._reading
        self._resuming = self._reading = 0

    async def _deliver(self, events: list[TokenEvent]) -> None:
        """Join events on and write what is new, also what came before a bad seam."""
        deliveries: list[Delivery] = []
        try:
            for event in events:
                delivery = self._generation.accept(self._attempt, event)
                if delivery is not None:
                    deliveries.append(delivery)
        finally:
            if deliveries:
                await self._sink.write(deliveries)

    def _lost(self, kind: LossKind, step: str, detail: str) -> AttemptLostError:
        return AttemptLostError(
            kind, step=step, peer=self._live.endpoint.id, detail=detail
        )


def count_kv_tokens(generation: Generation) -> int:
    """Return the tokens that a run may take in an endpoint's memory."""
    request = generation.request
    return request.prompt_tokens + request.max_tokens


def count_prefill_tokens(generation: Generation) -> int:
    """Return the tokens to read before a run's next output, where that is known."""
    prompt_tokens = generation.request.prompt_tokens
    return prompt_tokens + generation.position if prompt_tokens else 0


def count_resume_tokens(generation: Generation) -> int:
    """Return the tokens to read before an answer that has begun goes on."""
    if not generation.delivered:
        return 0
    request = generation.request
    prompt_tokens = request.prompt_tokens or len(request.prompt) // CHARACTERS_A_TOKEN
    return generation.position + prompt_tokens
