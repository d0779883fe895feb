"""Relays the output of one attempt to the caller, and watches it for silence."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol

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
from passtally.live_endpoint import LiveEndpoint
from passtally.pace_meter import PaceMeter
from passtally.retry import LossKind
from passtally.stream_guard import StreamGuard

#: Estimated number of characters per token; only used for the budget of resume tokens,
#: for which an estimate is precise enough.
CHARACTERS_PER_TOKEN = 4


class Sink(Protocol):
    """Receives the output of a generation."""

    def switch(self, generation: Generation, attempt: Attempt) -> None:
        """Switch to a new attempt, before its first output."""

    async def write(self, deliveries: list[Delivery]) -> None:
        """Write new output, and return when more can be accepted.

        Raises:
            ConnectionError: The caller left.
        """


MayFailOver = Callable[[LossKind], Awaitable[bool]]


async def always_fail_over(kind: LossKind) -> bool:
    """Allow every answer to fail over."""
    return True


class Relay:
    """Runs one attempt from its dispatch until it completes or is lost.

    Silence does not prove that an endpoint is dead: a host whose own link is saturated
    reaches no endpoint at all. An attempt is therefore given up for silence only if its
    answer may fail over to another endpoint. Otherwise it keeps waiting until output
    arrives or the caller leaves.

    Args:
        generation: The generation that the attempt belongs to.
        attempt: The attempt.
        live: The endpoint that runs the attempt.
        sink: Receives the output.
        clock: The clock.
        replica: The endpoint that keeps a replica of the attempt's state, if any.
        load_changed: Called when the load that the attempt puts on its endpoints
            has changed.
        on_first: Called before the first output is written to the sink.
        first_output_limit: See :class:`passtally.live_endpoint.StreamGuard`.
        may_fail_over: Returns whether the answer may fail over to another endpoint
            after a loss of the given kind.
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
        first_output_limit: Callable[[int], timedelta | None] = lambda tokens: None,
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
        self._failover_check: asyncio.Task[None] | None = None
        now = clock.monotonic()
        self._guard = StreamGuard(
            started_at=now,
            quiet_since=now,
            first_output_limit=first_output_limit,
            max_gap=generation.request.max_gap,
            fingerprint=generation.request.fingerprint,
        )
        self._pace_meter = PaceMeter(clock=clock)
        self._resume_tokens = 0
        self._prefill_tokens = 0

    @property
    def pace(self) -> timedelta | None:
        """The endpoint's time between two outputs; None if it is not known."""
        return self._pace_meter.pace

    @property
    def last_output_at(self) -> timedelta | None:
        """Time of the last output; None before the first."""
        return self._guard.silent_since if self._guard.reads else None

    @property
    def has_begun(self) -> bool:
        """Whether the attempt has sent output."""
        return self._guard.reads > 0

    async def run(self, *, attach: bool) -> None:
        """Relay the output until the answer is complete.

        Args:
            attach: Whether to attach to a stream that the endpoint still has.

        Raises:
            AttemptLostError: The attempt can't continue.
            ConnectionError: The caller left.
        """
        live = self._live
        self._sink.switch(self._generation, self._attempt)
        # A replica of an answer that has not begun may lack a part of the prompt.
        if not attach or not self._generation.delivered:
            self._resume_tokens = count_resume_tokens(self._generation)
            self._prefill_tokens = count_prefill_tokens(self._generation)
        live.enter()
        live.resume_tokens += self._resume_tokens
        live.prefill_tokens += self._prefill_tokens
        live.guards.add(self._guard)
        endpoints = [live] if self._replica is None else [live, self._replica]
        tokens = count_kv_tokens(self._generation)
        for endpoint in endpoints:
            endpoint.kv_tokens += tokens
        self._load_changed()
        try:
            await self._forward(attach=attach)
        except ResumeMismatchError as error:
            raise self._lost(LossKind.RESUME_MISMATCH, "join", str(error)) from error
        finally:
            for endpoint in endpoints:
                endpoint.kv_tokens -= tokens
            live.guards.discard(self._guard)
            self._end_prefill()
            live.leave()
            self._load_changed()

    async def _forward(self, *, attach: bool) -> None:
        stream: TokenStream | None = None
        try:
            async with asyncio.timeout(None) as scope:
                self._guard.on_loss = lambda: self._start_failover_check(scope)
                self._attempt.sent_at = self._clock.monotonic()
                stream = await self._open(attach=attach)
                self._attempt.begun_at = self._clock.monotonic()
                self._guard.begun_at = self._attempt.begun_at
                await self._read(stream)
        except TimeoutError as error:
            kind = self._guard.loss_kind or LossKind.FROZEN
            raise self._lost(kind, "stream", "silence") from error
        finally:
            if self._failover_check is not None:
                self._failover_check.remove_done_callback(self._finish_failover_check)
                self._failover_check.cancel()
            if stream is not None:
                stream.close()

    def _start_failover_check(self, scope: asyncio.Timeout) -> None:
        self._failover_check = asyncio.create_task(self._check_failover(scope))
        self._failover_check.add_done_callback(self._finish_failover_check)

    def _finish_failover_check(self, check: asyncio.Task[None]) -> None:
        """Watch for silence again if the check for failover did not complete."""
        error = None if check.cancelled() else check.exception()
        if check.cancelled() or error is not None:
            log_event(
                "silence",
                "Failover check did not complete.",
                peer=self._live.endpoint.id,
                why=error,
            )
            self._guard.keep_waiting(self._clock.monotonic())

    async def _check_failover(self, scope: asyncio.Timeout) -> None:
        """Time the attempt out if its answer may fail over; else keep waiting."""
        guard = self._guard
        reads = guard.reads
        may_fail_over = guard.is_lost or await self._may_fail_over(guard.loss_kind)
        if guard.is_lost or (may_fail_over and guard.reads == reads):
            scope.reschedule(asyncio.get_running_loop().time())
            return
        if not guard.is_kept_waiting:
            log_event(
                "silence",
                "Endpoint silent and no failover possible; still waiting.",
                request=self._generation.request.id,
                peer=self._live.endpoint.id,
                loss=guard.loss_kind,
                position=self._generation.position,
            )
        guard.keep_waiting(self._clock.monotonic())

    async def _open(self, *, attach: bool) -> TokenStream:
        generation, engine = self._generation, self._live.engine
        request = generation.request
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
            self._pace_meter.record_output(len(events))
            if guard.reads == 1:
                self._record_first_output()
            if guard.is_kept_waiting:
                guard.is_kept_waiting = False
                self._live.reset_ejection()
            guard.is_waiting = False
            await self._deliver_events(events)
            guard.is_waiting = True
        if self._generation.finish_reason is None:
            # An end without a finish reason may be a truncation, whatever the stream.
            raise self._lost(LossKind.RESET, "stream", "ended before its last event")

    def _record_first_output(self) -> None:
        self._live.record_answer(self._clock.monotonic())
        self._live.record_alive(self._guard.started_at)
        self._end_prefill()
        self._load_changed()
        self._on_first()

    def _end_prefill(self) -> None:
        self._live.resume_tokens -= self._resume_tokens
        self._live.prefill_tokens -= self._prefill_tokens
        self._resume_tokens = self._prefill_tokens = 0

    async def _deliver_events(self, events: list[TokenEvent]) -> None:
        """Append events to the generation and write the new output.

        If an event does not continue the answer, the output before it is still written.
        """
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
    """Return the maximum number of tokens of a run in an endpoint's KV memory."""
    request = generation.request
    return request.prompt_tokens + request.max_tokens


def count_prefill_tokens(generation: Generation) -> int:
    """Return the tokens to prefill before a run's next output; 0 if unknown."""
    prompt_tokens = generation.request.prompt_tokens
    return prompt_tokens + generation.position if prompt_tokens else 0


def count_resume_tokens(generation: Generation) -> int:
    """Return the tokens to prefill before an answer resumes; 0 for a new answer."""
    if not generation.delivered:
        return 0
    request = generation.request
    prompt_tokens = request.prompt_tokens or len(request.prompt) // CHARACTERS_PER_TOKEN
    return generation.position + prompt_tokens
