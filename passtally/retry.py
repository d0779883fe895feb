"""Decides how to continue after an attempt is lost, without I/O or state."""

from enum import StrEnum

import attrs


class LossKind(StrEnum):
    """How an attempt was lost."""

    #: The connection broke; the endpoint's process may have exited or still run.
    RESET = "reset"
    #: The endpoint was silent and did not answer the probe.
    FROZEN = "frozen"
    #: The endpoint sent output that does not continue the answer so far.
    RESUME_MISMATCH = "seam"
    #: The endpoint rejected the request before running it.
    REFUSED = "refused"
    #: A newer attempt, from another entry host, has attached to the stream.
    SUPERSEDED = "superseded"
    #: Another endpoint has the address now; the previous one has exited.
    REPLACED = "replaced"
    #: No connection to the endpoint could be opened.
    UNREACHABLE = "unreachable"
    #: The link to the endpoint failed, or a host on the way, but not the endpoint,
    #: which may go on with the request.
    LINK = "link"
    #: This host holds too much to read on; the endpoint is not at fault.
    NOT_HELD = "not_held"
    #: The endpoint closed the connection of an answer without a length or chunked
    #: encoding: the answer may be complete or truncated.
    UNMARKED_END = "unmarked_end"
    #: An attempt that continues a lost one ended without output: the answer may be
    #: complete, or the endpoint has lost the rest.
    UNCONFIRMED_END = "unconfirmed_end"


class Holder(StrEnum):
    """What may still have the state of a lost stream."""

    #: Nothing: the prompt needs another prefill.
    NONE = "none"
    #: The endpoint itself keeps streams whose connection broke.
    ENDPOINT = "endpoint"
    #: Another endpoint keeps a replica.
    REPLICA = "replica"


#: Losses after which the request is known not to have run at the endpoint.
UNRUN_KINDS = frozenset((LossKind.REFUSED, LossKind.UNREACHABLE, LossKind.REPLACED))

#: Losses that tell nothing of the endpoint.
BLAMELESS_KINDS = frozenset((LossKind.LINK, LossKind.NOT_HELD))

#: Losses of which only the connection is the cause, so that an endpoint that keeps
#: streams still has the stream.
CONNECTION_KINDS = frozenset((LossKind.RESET, LossKind.LINK))

#: Losses by a close of the connection, which may show that the endpoint has exited.
CLOSED_KINDS = frozenset((LossKind.RESET, LossKind.UNMARKED_END))

#: Losses by an end after which the answer may be complete or lack the rest.
UNSURE_ENDS = frozenset((LossKind.UNMARKED_END, LossKind.UNCONFIRMED_END))


class NextStep(StrEnum):
    """The next step after an attempt is lost."""

    #: Attach to the stream at the endpoint that may still have its state.
    ATTACH = "attach"
    #: Resume at another endpoint from the last position.
    RESUME = "resume"
    #: Fail the generation; the caller receives an error.
    GIVE_UP = "give_up"


@attrs.frozen(kw_only=True)
class RetryLimits:
    """The limits on the attempts of a generation.

    Attributes:
        max_attempts: The maximum number of dispatches of one generation.
    """

    max_attempts: int = 6


@attrs.frozen(kw_only=True)
class RetryDecision:
    """The next step after a loss, and the reason for the decision log."""

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
    """Decide how to continue after an attempt was lost.

    Args:
        kind: How it was lost.
        attempts: Number of attempts made so far, this one included.
        was_attached: Whether this attempt had itself attached to an existing stream.
        limits: The limits on attempts.
        holder: What may still have the stream's state.
    """
    if kind is LossKind.SUPERSEDED:
        return RetryDecision(step=NextStep.GIVE_UP, reason="resumed by another host")
    if attempts >= limits.max_attempts:
        return RetryDecision(step=NextStep.GIVE_UP, reason="too many attempts")
    if holder is Holder.REPLICA and kind not in UNRUN_KINDS:
        return RetryDecision(step=NextStep.ATTACH, reason="a replica has its state")
    is_kept = holder is Holder.ENDPOINT and not was_attached
    if kind in CONNECTION_KINDS and is_kept:
        return RetryDecision(
            step=NextStep.ATTACH, reason="the endpoint may still have the stream"
        )
    return RetryDecision(step=NextStep.RESUME, reason=f"lost by {kind}")


def is_endpoint_unreachable(kind: LossKind, *, was_attached: bool) -> bool:
    """Return whether a loss shows that the endpoint itself is unreachable."""
    if kind in (LossKind.FROZEN, LossKind.UNREACHABLE, LossKind.REPLACED):
        return True
    return was_attached and kind is LossKind.RESET


def is_endpoint_dead(kind: LossKind, *, was_attached: bool) -> bool:
    """Return whether a loss shows that an endpoint that keeps streams has exited.

    An endpoint that rejects the attach because it no longer has the stream was
    restarted.
    """
    lost_stream = (LossKind.REFUSED, LossKind.UNREACHABLE, LossKind.RESET)
    return was_attached and kind in lost_stream
