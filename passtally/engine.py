"""What a model engine does, and how an attempt at one is lost."""

from collections.abc import Collection, Sequence
from typing import Protocol

import msgspec

from passtally.generation import Attempt, GenerationRequest, TokenEvent
from passtally.retry import LossKind


class AttemptLostError(Exception):
    """An attempt that can't go on.

    Args:
        kind: How it was lost.
        step: The step at which it was: ``connect``, ``stream`` or ``attach``.
        peer: The endpoint.
        detail: What was seen.
        successor: The endpoint that has the address now, where it was replaced.
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
        self.successor = successor
        self.step = step
        self.peer = peer
        self.detail = detail
        super().__init__(f"{kind} at step {step} with {peer}: {detail}")


class LoadReport(msgspec.Struct):
    """What an engine says of itself; it lags.

    Attributes:
        running: Streams in the batch.
        queued: Streams that wait.
        step: Counts the engine's decoding steps.
        draining: Whether the engine itself says that it is leaving.
    """

    running: int
    queued: int
    step: int
    draining: bool = False


class TokenStream(Protocol):
    """The output of one attempt.

    Attributes:
        report: The load report that came with it, if any.
    """

    report: LoadReport | None

    async def read(self) -> list[TokenEvent]:
        """Return the events that arrived together; none once it has ended.

        Raises:
            AttemptLostError: It can't go on.
        """

    def close(self) -> None:
        """Drop the connection."""


class Engine(Protocol):
    """One model endpoint.

    Attributes:
        reports_load: Whether a probe brings a load report.
        keeps_streams: Whether it keeps a stream whose connection broke.
    """

    reports_load: bool
    keeps_streams: bool

    async def generate(
        self, request: GenerationRequest, attempt: Attempt, prior: Sequence[int]
    ) -> TokenStream:
        """Run a request, going on after the prior token ids.

        Raises:
            AttemptLostError: It was not taken.
        """

    async def attach(
        self, request: GenerationRequest, attempt: Attempt, *, position: int
    ) -> TokenStream:
        """Take up a stream that the engine still holds, from a position.

        Raises:
            AttemptLostError: The engine or its stream is gone.
        """

    async def cancel(self, generation_id: str, attempt: int) -> None:
        """Ask it to drop an attempt; it may not hear."""

    async def copy_run(self, generation_id: str, target: str) -> str:
        """Copy a run's state to another endpoint; the run goes on.

        Args:
            generation_id: The generation that runs.
            target: The other endpoint's id.

        Returns:
            What names the replica.

        Raises:
            AttemptLostError: It was not copied.
        """

    async def drop_copy(self, replica_ref: str, target: str) -> None:
        """Let go of a copy at another endpoint; it may not hear."""

    async def probe(self) -> LoadReport | None:
        """Return its load report, or None where none came in time."""

    async def count_waiting(self) -> int:
        """Return how many runs there have no output yet, all hosts' together.

        The number may be some hundred milliseconds old.

        Raises:
            AttemptLostError: None came in time, or the endpoint has ended.
        """

    async def list_cached_prompts(self) -> Collection[str]:
        """Return what names the prompts that its memory keeps, as far as it tells.

        Raises:
            AttemptLostError: No answer came in time.
        """

    async def is_reachable(self) -> bool:
        """Return whether it takes a connection; asked of engines without reports."""

    async def has_ended(self) -> bool:
        """Return whether it is seen to have ended: its address takes no connections.

        Not one that does not answer: it may be cut off, or only silent.
        """
