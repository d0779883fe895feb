"""Counts the prompts that endpoints prefill again, by cause."""

from enum import StrEnum

import attrs

from passtally.decision import log_event
from passtally.engine import AttemptLostError
from passtally.generation import Attempt, Generation
from passtally.metrics import Metric, Metrics
from passtally.relay import count_prefill_tokens
from passtally.retry import UNRUN_KINDS, LossKind


class RepeatCause(StrEnum):
    """Why a prompt has to be prefilled again."""

    #: The endpoint was lost before its first output.
    LOST_IN_PREFILL = "lost_in_prefill"
    #: The endpoint was lost after output, and no replica was kept.
    NO_REPLICA = "no_replica"
    #: The endpoint that should have kept the replica is gone or out of reach.
    REPLICA_LOST = "replica_lost"
    #: That endpoint rejected the request: it has no replica, or no room.
    REPLICA_REJECTED = "replica_rejected"
    #: The caller took up an answer that began at another host, and no endpoint caches
    #: its prompt.
    TAKEN_UP = "taken_up"


@attrs.define(kw_only=True)
class PromptState:
    """Whether an endpoint has prefilled a generation's prompt, and why it has to again.

    Attributes:
        cause: Why the prompt has to be prefilled again; None if no endpoint has begun
            to, or if its state is still there.
    """

    cause: RepeatCause | None = None

    def record_loss(
        self, generation: Generation, attempt: Attempt, loss: AttemptLostError
    ) -> None:
        """Record the loss of an attempt."""
        if loss.kind in UNRUN_KINDS and not generation.delivered:
            # The attempt before this one has told the cause, if there was one.
            return
        if attempt.resume_ref and loss.kind in UNRUN_KINDS:
            is_rejected = loss.kind is LossKind.REFUSED
            self.cause = (
                RepeatCause.REPLICA_REJECTED
                if is_rejected
                else RepeatCause.REPLICA_LOST
            )
        elif loss.kind not in UNRUN_KINDS:
            has_output = generation.delivered > 0
            self.cause = (
                RepeatCause.NO_REPLICA if has_output else RepeatCause.LOST_IN_PREFILL
            )

    def record_prefill(self, generation: Generation, *, metrics: Metrics) -> None:
        """Count the prefill of a new attempt, if it repeats an earlier one."""
        if generation.delivered and not generation.attempts:
            self.cause = RepeatCause.TAKEN_UP
        if self.cause is None:
            return
        metrics.count(Metric.REPEATED_PREFILLS, self.cause)
        log_event(
            "prefill",
            "Prompt is prefilled again.",
            request=generation.request.id,
            cause=self.cause,
            tokens=count_prefill_tokens(generation),
        )
        self.cause = None
