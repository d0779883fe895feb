"""The interface of model engines, and the error for a lost attempt."""

from collections.abc import Collection, Sequence
from datetime import timedelta
from typing import Protocol

import msgspec

from passtally.generation import Attempt, GenerationRequest, TokenEvent
from passtally.retry import LossKind


class AttemptLostError(Exception):
    """An attempt that can't continue.

    Args:
        kind: How it was lost.
        step: The step at which it was lost, such as ``connect``, ``stream`` or
            ``attach``.
        peer: The endpoint's id.
        detail: The underlying error, as text.
        successor: The endpoint that has the address now, if the endpoint was replaced.

    Attributes:
        has_ended: Whether the endpoint was found to have exited.
    """

    def __init__(
        self,
        kind: LossKind,
        *,
        step: str,
        peer: str,
        detail: str,
        successor: str = "",
    ) -> None:
        self.kind = kind
        self.has_ended = False
        self.successor = successor
        self.step = step
        self.peer = peer
        self.detail = detail
        super().__init__(f"{kind} at step {step} with {peer}: {detail}")


class LoadReport(msgspec.Struct):
    """The load that an engine reports. The report lags behind the engine's state.

    Attributes:
        running: Number of streams in the batch.
        queued: Number of streams that wait for the batch.
        step: Number of decoding steps so far.
        draining: Whether the engine reports that it is leaving.
    """

    running: int
    queued: int
    step: int
    draining: bool = False


class InstanceLoad(msgspec.Struct, frozen=True):
    """The load that an endpoint reports with an answer, true when it was sent.

    Attributes:
        running: Number of requests that run there.
        waiting: Number of requests that wait there.
        slots: Number of requests that it runs at a time.
        slowness: The factor by which work takes longer there than usual, since it
            shares its machine with others.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


class TokenStream(Protocol):
    """The output of one attempt.

    Attributes:
        report: The load report that came with it, if any.
    """

    report: LoadReport | None

    async def read(self) -> list[TokenEvent]:
        """Return the next events that arrived together; empty after the last event.

        Raises:
            AttemptLostError: The attempt can't continue.
        """

    def close(self) -> None:
        """Close the connection."""


class Engine(Protocol):
    """One model endpoint.

    Attributes:
        reports_load: Whether a probe returns a load report.
        keeps_streams: Whether the engine keeps a stream after its connection broke.
        is_bypassed: Whether this host's own link to the engine is down, while other
            hosts reach it.
    """

    reports_load: bool
    keeps_streams: bool
    is_bypassed: bool

    async def generate(
        self, request: GenerationRequest, attempt: Attempt, prior: Sequence[int]
    ) -> TokenStream:
        """Run a request, continuing after the prior token ids.

        Raises:
            AttemptLostError: The engine did not accept the request.
        """

    async def attach(
        self, request: GenerationRequest, attempt: Attempt, *, position: int
    ) -> TokenStream:
        """Attach to a stream that the engine still has, from a position.

        Raises:
            AttemptLostError: The engine is unreachable or no longer has the stream.
        """

    async def cancel(self, generation_id: str, attempt: int) -> None:
        """Ask the engine to cancel an attempt; the request may get lost."""

    async def copy_run(self, generation_id: str, target: str) -> str:
        """Copy a run's state to another endpoint, while the run continues.

        Args:
            generation_id: The generation that runs.
            target: The other endpoint's id.

        Returns:
            The identifier of the replica.

        Raises:
            AttemptLostError: The state was not copied.
        """

    async def drop_copy(self, replica_ref: str, target: str) -> None:
        """Release a replica at another endpoint; the request may get lost."""

    async def probe(self) -> LoadReport | None:
        """Return the engine's load report, or None if none arrives in time."""

    async def count_waiting(self) -> int:
        """Return the number of runs without output at the endpoint, of all hosts.

        The number may be a few hundred milliseconds old.

        Raises:
            AttemptLostError: No answer arrived in time, or the endpoint has exited.
        """

    async def list_cached_prompts(self) -> Collection[str]:
        """Return the identifiers of the cached prompts that the engine reports.

        Raises:
            AttemptLostError: No answer arrived in time.
        """

    async def is_reachable(self) -> bool:
        """Return whether a connection can be opened, for engines without reports."""

    async def has_ended(self) -> bool:
        """Return whether the endpoint has exited: its address refuses connections.

        An endpoint that does not answer has not exited for certain: it may be
        unreachable or silent.
        """

    def is_silent(self, *, since: timedelta) -> bool:
        """Return whether this host's link fell silent while other hosts reach it.

        Args:
            since: When a connection was opened, on the monotonic clock. One that was
                opened later does not use the link.
        """
