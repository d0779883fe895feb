"""Detects the silence of one attempt at an endpoint."""

from collections.abc import Callable
from datetime import timedelta

import attrs

from passtally.retry import LossKind
from passtally.silence import Phase

#: Part of a caller's maximum pause between outputs that is reserved for failing over to
#: another endpoint: a check every 50 ms, a connection within 80 ms, and up to 60 ms
#: until the replica's first output.
FAILOVER_RESERVE = timedelta(milliseconds=200)
#: Delay until the next check of a stream that keeps waiting at a silent endpoint. Each
#: check costs a connection to the endpoint and up to four messages to other hosts. A
#: silence of 10 s takes 15 checks, and would take 39 without this delay.
HOLD_CHECK_DELAY = timedelta(milliseconds=600)


@attrs.define(kw_only=True, eq=False)
class StreamGuard:
    """Detects the silence of one attempt.

    The attempt only counts its reads, and a periodic check compares the count. This
    avoids a clock reading for each token.

    Attributes:
        started_at: When the attempt was started.
        quiet_since: Start of the current silence; restarted by output, by a probe that
            finds the endpoint alive, and by :meth:`keep_waiting`.
        first_output_limit: Returns the silence before the first output after which the
            attempt is given up even if its endpoint is alive, by
            ``max_prefill_tokens``; None for the endpoint's own limit.
        max_prefill_tokens: Maximum number of prompt tokens waiting for prefill at the
            endpoint since the attempt was sent, of all hosts as far as known.
        max_gap: Maximum pause between two outputs that the caller allows, if known.
        reads: Number of reads that returned output.
        is_waiting: Whether the attempt waits for output; False while output is written
            to the caller.
        seen_reads: Number of reads at the last check.
        silence_began_at: Start of the whole silence, once ``quiet_since`` was restarted
            without any output; otherwise None.
        on_loss: Called when the attempt is to be ended.
        loss_kind: The kind of loss, once the attempt was found lost.
        is_lost: Whether the endpoint no longer runs the attempt, so that waiting for it
            is useless.
        is_kept_waiting: Whether the attempt keeps waiting at a silent endpoint because
            it cannot fail over.
        next_check_at: Time before which the silence is not judged.
        fingerprint: The fingerprint of the request, see :mod:`passtally.fingerprint`.
        begun_at: Time at which the endpoint began to answer; None before that.
    """

    started_at: timedelta = timedelta(0)
    quiet_since: timedelta
    first_output_limit: Callable[[int], timedelta | None] = lambda tokens: None
    max_prefill_tokens: int = 0
    max_gap: timedelta | None = None
    reads: int = 0
    is_waiting: bool = True
    seen_reads: int = 0
    silence_began_at: timedelta | None = None
    on_loss: Callable[[], None] = lambda: None
    loss_kind: LossKind | None = None
    is_lost: bool = False
    is_kept_waiting: bool = False
    next_check_at: timedelta = timedelta(0)
    fingerprint: bytes = b""
    begun_at: timedelta | None = None

    def has_run_for(self, duration: timedelta, *, now: timedelta) -> bool:
        """Return whether the attempt has output and began longer ago than a duration.

        Args:
            duration: The duration.
            now: The monotonic time.
        """
        is_running = self.reads > 0 and self.begun_at is not None
        return is_running and now - self.begun_at > duration

    def stuck_after(self, endpoint_limit: timedelta | None) -> timedelta | None:
        """Return the maximum silence of the attempt while its endpoint is alive.

        Args:
            endpoint_limit: The endpoint's own limit for the phase; None for no limit.
        """
        if self.phase is Phase.FIRST_TOKEN:
            return self.first_output_limit(self.max_prefill_tokens) or endpoint_limit
        if self.max_gap is None or endpoint_limit is None:
            return endpoint_limit
        return max(endpoint_limit, self.max_gap - FAILOVER_RESERVE)

    @property
    def phase(self) -> Phase:
        """The output that the stream waits for."""
        return Phase.NEXT_TOKEN if self.seen_reads else Phase.FIRST_TOKEN

    @property
    def silent_since(self) -> timedelta:
        """Start of the whole silence, as of the last check."""
        return self.silence_began_at or self.quiet_since

    def end(self, kind: LossKind) -> None:
        """Trip the guard, which ends the attempt unless it cannot fail over."""
        if self.loss_kind is None:
            self.loss_kind = kind
            self.on_loss()

    def lose(self) -> None:
        """End the attempt as lost, even if it cannot fail over."""
        self.is_lost = True
        self.end(LossKind.RESET)

    def keep_waiting(self, now: timedelta) -> None:
        """Keep the attempt at its endpoint, and judge its silence again later.

        Args:
            now: The monotonic time.
        """
        self.loss_kind = None
        self.is_kept_waiting = True
        self.silence_began_at = self.silence_began_at or self.quiet_since
        self.quiet_since = now
        self.next_check_at = now + HOLD_CHECK_DELAY
