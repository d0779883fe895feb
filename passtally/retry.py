"""What follows when an attempt is lost. Pure."""

from enum import StrEnum

import attrs


class LossKind(StrEnum):
    """How an attempt was lost."""

    #: The connection broke; the process may be gone or only the connection.
    RESET = "reset"
    #: It fell silent and did not answer the probe.
    FROZEN = "frozen"
    #: It sent tokens that do not join on.
    RESUME_MISMATCH = "seam"
    #: It refused the request before running it.
    REFUSED = "refused"
    #: A newer attempt, from another entry host, has taken the stream up.
    SUPERSEDED = "superseded"
    #: Another endpoint has its address now: this one has ended for good.
    REPLACED = "replaced"
    #: No connection to it could be made.
    UNREACHABLE = "unreachable"


class Holder(StrEnum):
    """What may still have the state of a lost stream."""

    #: Nothing: the prompt has to be read again.
    NONE = "none"
    #: The endpoint itself keeps streams whose connection broke.
    ENDPOINT = "endpoint"
    #: Another endpoint keeps a replica.
    REPLICA = "replica"


#: Losses after which the request is known not to have run there.
UNRUN_KINDS = frozenset((LossKind.REFUSED, LossKind.UNREACHABLE, LossKind.REPLACED))


class NextStep(StrEnum):
    """What to do now."""

    #: Take up the stream where its state is still held.
    ATTACH = "attach"
    #: Go on at another endpoint from the last position.
    RESUME = "resume"
    #: End with an honest failure.
    GIVE_UP = "give_up"


@attrs.frozen(kw_only=True)
class RetryLimits:
    """Where resuming ends.

    Attributes:
        max_attempts: The dispatches one generation may have.
    """

    max_attempts: int = 6


@attrs.frozen(kw_only=True)
class RetryDecision:
    """What follows a loss, and why."""

    step: NextStep
    reason: str


def decide_after_loss(
    kind: LossKind,
    *,
    attempts: int,
    was_attached: bool,
    limits: RetryLimits,
    holder: Holder = Holder.ENDPOINT,
) -> RetryDecision:
    """Decide what follows a lost attempt.

    Args:
        kind: How it was lost.
        attempts: The attempts made so far, this one included.
        was_attached: Whether this attempt had itself taken up a held stream.
        limits: Where resuming ends.
        holder: What may still have the stream's state.
    """
    if kind is LossKind.SUPERSEDED:
        return RetryDecision(step=NextStep.GIVE_UP, reason="taken up by another host")
    if attempts >= limits.max_attempts:
        return RetryDecision(step=NextStep.GIVE_UP, reason="too many attempts")
    if holder is Holder.REPLICA and kind not in UNRUN_KINDS:
        return RetryDecision(step=NextStep.ATTACH, reason="a replica has its state")
    is_kept = holder is Holder.ENDPOINT and not was_attached
    if kind is LossKind.RESET and is_kept:
        return RetryDecision(
            step=NextStep.ATTACH, reason="the endpoint may still hold the stream"
        )
    return RetryDecision(step=NextStep.RESUME, reason=f"lost by {kind}")


def is_endpoint_unreachable(kind: LossKind, *, was_attached: bool) -> bool:
    """Return whether a loss shows that the endpoint itself is out of reach."""
    if kind in (LossKind.FROZEN, LossKind.UNREACHABLE, LossKind.REPLACED):
        return True
    return was_attached and kind is LossKind.RESET


def is_endpoint_dead(kind: LossKind, *, was_attached: bool) -> bool:
    """Return whether a loss shows that an endpoint that keeps streams has ended.

    One that has a stream no more was restarted.
    """
    lost_stream = (LossKind.REFUSED, LossKind.UNREACHABLE, LossKind.RESET)
    return was_attached and kind in lost_stream
