"""Tells an endpoint that exited from a link to it that failed."""

from passtally.crash_guard import CrashGuard
from passtally.engine import AttemptLostError
from passtally.live_endpoint import LiveEndpoint
from passtally.retry import CLOSED_KINDS, LossKind

#: Losses that this host's own link to the endpoint may have caused.
_LINK_LOSSES = frozenset((LossKind.RESET, LossKind.FROZEN))


async def inspect_loss(
    loss: AttemptLostError, live: LiveEndpoint, *, guard: CrashGuard
) -> None:
    """Find out whether an endpoint has exited, or only the link to it failed.

    A loss by the link must not count against the endpoint, its version or the request.

    Args:
        loss: The loss; its kind and ``has_ended`` are updated.
        live: The endpoint.
        guard: Checks whether the endpoint has exited.
    """
    if loss.kind in CLOSED_KINDS or loss.kind is LossKind.UNREACHABLE:
        loss.has_ended = await guard.has_ended(live)
    if loss.kind in _LINK_LOSSES and not loss.has_ended and guard.is_bypassed(live):
        loss.kind = LossKind.LINK
