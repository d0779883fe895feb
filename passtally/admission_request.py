"""What admission knows of a request."""

from datetime import timedelta
from enum import IntEnum

import attrs

from passtally.priority import Priority


class RequestClass(IntEnum):
    """Class of a request at the own interface; lower values are more urgent."""

    LOOKUP = 0
    INTERACTIVE = 1
    JOB = 2


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """The properties of a request that decide its admission.

    Attributes:
        id: The request's id.
        workspace: The workspace that sent the request.
        share: The workspace's weight.
        request_class: The class, which bounds the wait of a request without timeout.
        timeout: The caller's timeout for the first token; None if it set none.
        priority: Who goes first; that of the class if nothing else states one.
        size: The room that the request takes of its service, in the service's unit.
        fingerprint: The same for all tries of the request; empty if unknown.
        is_returning: Whether its caller was refused before, and returns as it was told,
            or takes up an answer that has begun.
    """

    id: str
    workspace: str
    share: int
    request_class: RequestClass
    timeout: timedelta | None = None
    priority: Priority = attrs.field()
    size: float = 1.0
    fingerprint: bytes = b""
    is_returning: bool = False

    @priority.default
    def _priority_of_class(self) -> Priority:
        return Priority(rank=self.request_class, route_rank=self.request_class)

    @property
    def standing(self) -> "Standing":
        """The order in which the request gets room."""
        return Standing(priority=self.priority, is_new=not self.is_returning)

    @property
    def claimant(self) -> "Claimant":
        """Whose room the request takes."""
        return Claimant(standing=self.standing, workspace=self.workspace)


@attrs.frozen(kw_only=True, order=True)
class Standing:
    """The order in which requests get room; what sorts first goes first.

    Attributes:
        priority: The priority of the requests.
        is_new: Whether their callers come for the first time. Those that return after a
            refusal, as they were told, or that take up an answer, go before new ones of
            their priority.
    """

    priority: Priority
    is_new: bool = True

    @property
    def on_return(self) -> "Standing":
        """The standing of the same requests when their callers return."""
        return Standing(priority=self.priority, is_new=False)


@attrs.frozen(kw_only=True, order=True)
class Claimant:
    """The requests of one workspace that have the same standing.

    Attributes:
        standing: The standing of the requests.
        workspace: The workspace.
    """

    standing: Standing
    workspace: str
