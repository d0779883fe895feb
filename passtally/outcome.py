"""Error codes and error bodies for requests that are refused or cut short."""

from datetime import timedelta
from enum import StrEnum
from typing import Any

import attrs
import msgspec


class Outcome(StrEnum):
    """Whether a failed request may have run, so that a retry could run it again."""

    #: No byte of the request reached an endpoint, or the endpoint refused to run it.
    NOT_RUN = "not_run"
    #: The request may have run, in part or completely.
    UNKNOWN = "unknown"


class Code(StrEnum):
    """Every error code that a caller or operator can receive.

    Attributes:
        meaning: The description in docs/ERRORS.md.
    """

    meaning: str

    def __new__(cls, value: str, meaning: str) -> "Code":
        """Create a code with its description."""
        code = str.__new__(cls, value)
        code._value_ = value
        code.meaning = meaning
        return code

    BAD_JSON = "bad_json", "The body is not JSON."
    BAD_REQUEST = "bad_request", "A field or header is invalid; the message names it."
    BODY_TOO_LARGE = "body_too_large", "The body exceeds the host's `--max-body`."
    UNAUTHENTICATED = "unauthenticated", "The token or key is missing or unknown."
    UNKNOWN_PATH = "unknown_path", "There is no such path or method."
    UNKNOWN_MODEL = "unknown_model", "The workspace has no model of this name."
    UNKNOWN_SERVICE = "unknown_service", "The workspace has no service of this name."
    UNKNOWN_GENERATION = "unknown_generation", "The workspace has no job with this id."
    ANSWER_TOO_LONG = "answer_too_long", "A job's answer is too long to be stored."
    BAD_RESUME_HANDLE = (
        "bad_resume_handle",
        "`Last-Event-ID` was not issued for this workspace and body.",
    )
    OVERLOADED = "overloaded", "There is no capacity now, and none is expected in time."
    NO_ENDPOINT = (
        "no_endpoint",
        "No endpoint accepted the request or answered it in time.",
    )
    ENDPOINT_LOST = (
        "endpoint_lost",
        "The endpoint was lost after the call was sent; the call may have run.",
    )
    REQUEST_QUARANTINED = (
        "request_quarantined",
        "This request crashed several endpoints and is refused for a while.",
    )
    RESUME_IMPOSSIBLE = (
        "resume_impossible",
        "The answer can't be resumed; `position` is that of the last delivered token.",
    )
    KEY_IN_USE = (
        "key_in_use",
        "A request with this key was sent before, and its result is not available.",
    )
    KEY_REUSED = "key_reused", "This key was used for another request."
    STOPPING = "stopping", "The host is about to stop; retry at another host."
    NO_CONFIG = (
        "no_config",
        "The host has no configuration yet, or not the newest; retry.",
    )
    CLAIMS_UNAVAILABLE = (
        "claims_unavailable",
        "The key can't be claimed while the platform is unreachable.",
    )
    CLAIM_LAPSED = "claim_lapsed", "The host was paused between claim and send."
    BAD_OBJECT = (
        "bad_object",
        "A configuration object is invalid; the message names all problems.",
    )
    VERSION_CONFLICT = (
        "version_conflict",
        "The object has been changed since it was read.",
    )
    UNKNOWN_OBJECT = "unknown_object", "There is no such object or kind."
    PLATFORM_AWAY = "platform_away", "The platform did not answer; retry."
    PLAN_REFUSED = (
        "plan_refused",
        "The intent is invalid, or its plan would break a guarantee.",
    )
    PLAN_STALE = (
        "plan_stale",
        "Objects that the plan depends on have changed; declare it again.",
    )
    UNKNOWN_INTENT = "unknown_intent", "There is no such intent."
    INTENT_CONFLICT = (
        "intent_conflict",
        "The intent conflicts with another one under way.",
    )
    INTENT_ENDED = "intent_ended", "The intent has ended already."
    INTERNAL = "internal", "The host failed on the request."


@attrs.frozen(kw_only=True)
class Failure:
    """A refusal, or the error that cuts an answer short, as sent to the caller.

    Attributes:
        code: The error code.
        message: A sentence for human readers.
        outcome: Whether the request may have run.
        status: The HTTP status, used unless the answer has begun.
        retry_after: The time after which to retry, if a retry can help.
        step: The step that failed (``admit``, ``route``, ``stream`` ...).
        peer: The endpoint, host or store involved, if any.
        position: The position of the last delivered token, for an answer cut short.
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
        """Return the JSON body of the error answer."""
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
    """The error of a request that gets no answer, or no complete one.

    Args:
        failure: The error that the caller receives.
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
    """Return a :class:`RefusedError`; see :class:`Failure` for the arguments."""
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
