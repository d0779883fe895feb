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
    """Every error code that a caller or operator can meet.

    Attributes:
        meaning: What it means, for docs/API.md.
    """

    meaning: str

    def __new__(cls, value: str, meaning: str) -> "Code":
        """Make one code with its meaning."""
        code = str.__new__(cls, value)
        code._value_ = value
        code.meaning = meaning
        return code

    BAD_JSON = "bad_json", "The body is not JSON."
    BAD_REQUEST = "bad_request", "A field or header can't be used; the text names it."
    BODY_TOO_LARGE = "body_too_large", "The body is over the host's `--max-body`."
    UNAUTHENTICATED = "unauthenticated", "No token, or one that nobody has."
    UNKNOWN_PATH = "unknown_path", "There is no such path or method."
    UNKNOWN_MODEL = "unknown_model", "The workspace has no model of this name."
    UNKNOWN_SERVICE = "unknown_service", "The workspace has no service of this name."
    UNKNOWN_GENERATION = "unknown_generation", "The workspace has no such job."
    ANSWER_TOO_LONG = "answer_too_long", "A job's answer is too long to be kept."
    BAD_RESUME_HANDLE = (
        "bad_resume_handle",
        "`Last-Event-ID` was not issued for this workspace and body.",
    )
    OVERLOADED = "overloaded", "There is no room, and would not be in time."
    NO_ENDPOINT = "no_endpoint", "No endpoint could be given the request."
    ENDPOINT_LOST = (
        "endpoint_lost",
        "The endpoint was lost after the call was sent; it may have run.",
    )
    REQUEST_QUARANTINED = (
        "request_quarantined",
        "This prompt took several endpoints down and is refused for a while.",
    )
    RESUME_IMPOSSIBLE = (
        "resume_impossible",
        "The answer can't go on; `position` names the last token delivered.",
    )
    KEY_IN_USE = (
        "key_in_use",
        "A request with this key was sent before; how it ended is not known here.",
    )
    KEY_REUSED = "key_reused", "This key was used for another request."
    STOPPING = "stopping", "The host is about to stop; ask another."
    NO_CONFIG = "no_config", "The host knows no configuration yet; ask again."
    CLAIMS_UNAVAILABLE = (
        "claims_unavailable",
        "The key can't be claimed while the platform is away.",
    )
    CLAIM_LAPSED = "claim_lapsed", "The host slept between claim and send."
    BAD_OBJECT = "bad_object", "A configuration object has problems; all are named."
    VERSION_CONFLICT = "version_conflict", "The object has another version by now."
    UNKNOWN_OBJECT = "unknown_object", "There is no such object or kind."
    PLATFORM_AWAY = "platform_away", "The platform did not answer; ask again."
    PLAN_REFUSED = "plan_refused", "The plan could not keep the promises."
    PLAN_STALE = "plan_stale", "What the plan rests on has changed."
    UNKNOWN_INTENT = "unknown_intent", "There is no such intent."
    INTENT_CONFLICT = "intent_conflict", "Another intent under way is in conflict."
    INTENT_ENDED = "intent_ended", "The intent has ended already."
    INTERNAL = "internal", "The host failed on the request."


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
