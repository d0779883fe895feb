"""The progress of one generation on this host, over all its attempts."""

from datetime import timedelta

import attrs

from passtally.engine import AttemptLostError
from passtally.repeated_prefill import PromptState


@attrs.define(kw_only=True)
class Progress:
    """The state of one generation on this host, over all its attempts.

    Attributes:
        unreached_attempts: Number of attempts that did not reach their endpoint.
        unreached_since: Time from which no endpoint could be reached; None while the
            last attempt reached one.
        excluded: Ids of the endpoints that lost an attempt, excluded from placement.
        may_have_run: Whether the generation may have run at an endpoint.
        first_output_at: Time of the answer's first output, if sent by this host.
        waiting_since: Time from which the caller has waited for the first output of
            the current attempt.
        last_output_at: Time of the last output, or of the start before any output.
        has_retry: Whether the retry for the next loss is acquired already.
        prompt: Why the prompt has to be prefilled again, if it has.
        last_error: The error of the last lost attempt.
        unsure_end: Position at which an attempt last ended by one of ``UNSURE_ENDS``;
            None if none did.
    """

    unreached_attempts: int = 0
    unreached_since: timedelta | None = None
    excluded: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    first_output_at: timedelta | None = None
    waiting_since: timedelta
    last_output_at: timedelta
    has_retry: bool = False
    prompt: PromptState = attrs.field(factory=PromptState)
    last_error: AttemptLostError | None = None
    unsure_end: int | None = None
