"""What a caller is told when its request is refused or ends early."""

from datetime import timedelta
from enum import StrEnum
from typing import Any

import attrs
import msgspec


class Outcome(StrEnum):
    """Whether a request ran."""

    #: No byte of it reached an endpoint, or the endpoint refused it unrun.
    NOT_RUN = "not_run"
    #: It may have run, in part or whole.
    UNKNOWN = "unknown"


class Code(StrEnum):
    """Every error code a caller can meet; docs/API.md explains each."""

    BAD_JSON = "bad_json"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    BAD_RESUME_HANDLE = "bad_resume_handle"
    OVERLOADED = "overloaded"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINT_LOST = "endpoint_lost"
    REQUEST_QUARANTINED = "request_quarantined"
    RESUME_IMPOSSIBLE = "resume_impossible"
    KEY_IN_USE = "key_in_use"
    KEY_REUSED = "key_reused"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    CLAIM_LAPSED = "claim_lapsed"
    BAD_OBJECT = "bad_object"
    VERSION_CONFLICT = "version_conflict"
    UNKNOWN_OBJECT = "unknown_object"
    PLATFORM_AWAY = "platform_away"
    PLAN_REFUSED = "plan_refused"
    PLAN_STALE = "plan_stale"
    UNKNOWN_INTENT = "unknown_intent"
    INTENT_CONFLICT = "intent_conflict"
    INTENT_ENDED = "intent_ended"
    INTERNAL = "internal"


@attrs.frozen(kw_only=True)
class Failure:
    """One refusal or early end, as the caller reads it.

    Attributes:
        code: What went wrong.
        message: One sentence for a person.
        outcome: Whether the request ran.
        status: The HTTP status, where one can still be sent.
        retry_after: When to come back, if that can help.
        step: The step at which it arose (``admit``, ``route``, ``stream`` ...).
        peer: The endpoint, host or store at the other side, if any.
        position: The last token position delivered, for an answer cut short.
    """

    code: Code
    message: str
    outcome: Outcome
    status: int
    retry_after: timedelta | None = None
    step: str = ""
    peer: str = ""
    position: int | None = None

    def to_json(self) -> bytes:
        """Return the body that the caller receives."""
        error: dict[str, Any] = {
            "code": self.code.value,
            "message": self.message,
            "outcome": self.outcome.value,
            "step": self.step,
            "peer": self.peer,
        }
        if self.retry_after is not None:
            error["retry_after"] = self.retry_after.total_seconds()
        if self.position is not None:
            error["position"] = self.position
        return msgspec.json.encode({"error": error})


class RefusedError(Exception):
    """A request that gets no answer, or no whole one.

    Args:
        failure: What the caller is told.
    """

    def __init__(self, failure: Failure) -> None:
        self.failure = failure
        super().__init__(
            f"{failure.code} at step {failure.step or '-'}"
            f" with {failure.peer or '-'}: {failure.message}"
        )


def refuse(
    code: Code,
    message: str,
    *,
    status: int,
    step: str,
    peer: str = "",
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after: timedelta | None = None,
    position: int | None = None,
) -> RefusedError:
    """Build the error for one refusal; see :class:`Failure` for the arguments."""
    return RefusedError(
        Failure(
            code=code,
            message=message,
            outcome=outcome,
            status=status,
            retry_after=retry_after,
            step=step,
            peer=peer,
            position=position,
        )
    )
