"""What follows when an attempt is lost. Pure."""

import hashlib
from collections import OrderedDict
from datetime import timedelta
from enum import StrEnum

import attrs


class LossKind(StrEnum):
    """How an attempt was lost."""

    #: The connection broke; the process may be gone or only the connection.
    RESET = "reset"
    #: It fell silent and did not answer the probe.
    FROZEN = "frozen"
    #: It sent tokens that do not join on.
    SEAM = "seam"
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
        max_deaths: The endpoints one request may take down before it is
            quarantined.
        quarantine: How long its prompt is then refused.
    """

    max_attempts: int = 6
    max_deaths: int = 3
    quarantine: timedelta = timedelta(minutes=10)


@attrs.frozen(kw_only=True)
class RetryDecision:
    """What follows a loss, and why."""

    step: NextStep
    reason: str


def decide_after_loss(
    kind: LossKind,
    *,
    attempts: int,
    deaths: int,
    was_attached: bool,
    limits: RetryLimits,
    holder: Holder = Holder.ENDPOINT,
) -> RetryDecision:
    """Decide what follows a lost attempt.

    Args:
        kind: How it was lost.
        attempts: The attempts made so far, this one included.
        deaths: The endpoints that died or froze under this request.
        was_attached: Whether this attempt had itself taken up a held stream.
        limits: Where resuming ends.
        holder: What may still have the stream's state.
    """
    if kind is LossKind.SUPERSEDED:
        return RetryDecision(step=NextStep.GIVE_UP, reason="taken up by another host")
    if deaths >= limits.max_deaths:
        return RetryDecision(
            step=NextStep.GIVE_UP, reason="took down too many endpoints"
        )
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


def is_gone(kind: LossKind, *, was_attached: bool) -> bool:
    """Return whether a loss shows that the endpoint itself is out of reach."""
    if kind in (LossKind.FROZEN, LossKind.UNREACHABLE, LossKind.REPLACED):
        return True
    return was_attached and kind is LossKind.RESET


def is_death(kind: LossKind, *, was_attached: bool) -> bool:
    """Return whether a loss shows that the endpoint died under the request.

    One that has a stream no more was restarted; one that was never reached did
    not die of this request.
    """
    lost_stream = (LossKind.REFUSED, LossKind.UNREACHABLE, LossKind.RESET)
    return kind is LossKind.FROZEN or (was_attached and kind in lost_stream)


class Quarantine:
    """Prompts that took endpoints down, refused for a while.

    Args:
        limits: For how long.
        max_entries: How many are remembered; the oldest is forgotten first.
    """

    def __init__(self, *, limits: RetryLimits, max_entries: int = 1024) -> None:
        self._limits = limits
        self._max_entries = max_entries
        self._until_by_digest: OrderedDict[bytes, timedelta] = OrderedDict()

    def add(self, workspace: str, prompt: str, *, now: timedelta) -> None:
        """Refuse a prompt from now on, for its workspace."""
        digest = _digest(workspace, prompt)
        self._until_by_digest[digest] = now + self._limits.quarantine
        self._until_by_digest.move_to_end(digest)
        if len(self._until_by_digest) > self._max_entries:
            self._until_by_digest.popitem(last=False)

    def remaining(
        self, workspace: str, prompt: str, *, now: timedelta
    ) -> timedelta | None:
        """Return how long a prompt is still refused, or None if it is not."""
        until = self._until_by_digest.get(_digest(workspace, prompt))
        if until is None or until <= now:
            return None
        return until - now


def _digest(workspace: str, prompt: str) -> bytes:
    keyed = f"{workspace}\0{prompt}".encode()
    return hashlib.blake2b(keyed, digest_size=16).digest()
