"""The errors of calls to plain services that no endpoint has answered."""

from datetime import timedelta

from passtally.engine import AttemptLostError
from passtally.live_endpoint import LiveEndpoint
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.plain_call import PlainCall
from passtally.retry import LossKind

#: Step reported for a failure before any byte was sent. Trying another endpoint then
#: takes nothing from the retry budget.
CONNECT_STEP = "connect"
RETRY_AFTER = timedelta(seconds=1)


def select_failure(known: RefusedError | None, new: RefusedError) -> RefusedError:
    """Return the new error, unless the call may have run according to the known one."""
    if known is not None and known.failure.outcome is Outcome.UNKNOWN:
        return known
    return new


def lost_call(kind: LossKind, live: LiveEndpoint, error: Exception) -> AttemptLostError:
    """Return the error for a call without a complete answer from its endpoint."""
    detail = str(error) or type(error).__name__
    return AttemptLostError(kind, step="call", peer=live.endpoint.id, detail=detail)


def out_of_time_error(call: PlainCall) -> RefusedError:
    """Return the error for a call whose time was up before it was sent."""
    return refuse(
        Code.NO_ENDPOINT,
        "The caller's time was up before the call could be sent.",
        status=503,
        step="send",
        peer=call.service.id,
        retry_after=RETRY_AFTER,
    )


def not_run_error(loss: AttemptLostError) -> RefusedError:
    """Return the error for a call that has certainly not run."""
    return refuse(
        Code.NO_ENDPOINT,
        f"The connection failed, or the endpoint rejected the call: {loss.detail}.",
        status=503,
        step=CONNECT_STEP if loss.kind is LossKind.UNREACHABLE else "call",
        peer=loss.peer,
        retry_after=RETRY_AFTER,
    )


def unknown_outcome_error(loss: AttemptLostError) -> RefusedError:
    """Return the error for a call that may have run."""
    return refuse(
        Code.ENDPOINT_LOST,
        f"The endpoint was lost before it answered: {loss.detail}.",
        status=504 if loss.kind is LossKind.FROZEN else 502,
        step="call",
        peer=loss.peer,
        outcome=Outcome.UNKNOWN,
        retry_after=RETRY_AFTER,
    )
