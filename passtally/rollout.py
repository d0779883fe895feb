"""The state of one roll-out of a service on one host. Does no I/O.

A new version first gets a bounded share of the requests. If it performs worse than the
old version, it gets no more requests. If the answers show that it does not, all hosts
move to it, and the old version is stopped afterwards.
"""

from datetime import timedelta
from enum import StrEnum

import attrs

from passtally.objects import Endpoint
from passtally.statechart import Machine

#: Fraction of an order's time in which the new version is tried. The trial never ends
#: early with success, since some versions start to fail only after a while.
TRIAL_FRACTION = 0.55
#: Fraction of an order's time after which its outcome is recorded at the latest. The
#: rest allows for a slow store and for the delay until a host receives the order.
END_FRACTION = 0.85
#: Time after completion in which endpoints of other versions still get no requests.
#: The entry of a stopped endpoint expires after three heartbeats of 1.2 s, and a host
#: keeps a missing entry for about another two seconds.
GRACE = timedelta(seconds=6)


class RolloutState(StrEnum):
    """The states of the chart ``rollout``."""

    WAITING = "waiting"
    TRYING = "trying"
    COMPLETING = "completing"
    ROLLING_BACK = "rolling_back"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"
    WITHDRAWN = "withdrawn"


class RecordedState(StrEnum):
    """The progress of a roll-out as recorded with its order in the store.

    Nothing is recorded while the new version is tried.
    """

    #: The new version was accepted, and all hosts must move to it.
    MOVING = "moving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """An operator's order to move a service to a new version.

    Attributes:
        id: The unique id, which also differs between orders for one service.
        service: The id of the service.
        version: The version to move to.
        within: The time in which the roll-out must end.
    """

    id: str
    service: str
    version: str
    within: timedelta


@attrs.frozen(kw_only=True)
class RolloutRecord:
    """An order and its recorded state, as read from the store.

    Attributes:
        order: The order.
        state: The recorded state; None if nothing was recorded yet.
        object_version: The version of the stored object.
    """

    order: RolloutOrder
    state: RecordedState | None
    object_version: int


_EVENTS_BY_RECORDED = {
    RecordedState.MOVING: "accept",
    RecordedState.COMPLETED: "complete",
    RecordedState.ROLLED_BACK: "roll_back",
}


class Rollout:
    """The state machine of one roll-out on this host.

    Args:
        record: The order and its recorded state.
        now: The monotonic time, from which the order's time counts.
    """

    def __init__(self, *, record: RolloutRecord, now: timedelta) -> None:
        self.order = record.order
        self.record = record
        self.began_at = now
        self.state_since = now
        self._machine = Machine(chart="rollout")
        self.apply_record(record, now=now)

    @property
    def state(self) -> RolloutState:
        """The current state."""
        return RolloutState(self._machine.state)

    @property
    def is_over(self) -> bool:
        """Whether the state is final."""
        return self._machine.is_final

    @property
    def trial_ends_at(self) -> timedelta:
        """The monotonic time at which the trial of the new version ends."""
        return self.began_at + TRIAL_FRACTION * self.order.within

    @property
    def must_end_at(self) -> timedelta:
        """The monotonic time by which an outcome must be recorded."""
        return self.began_at + END_FRACTION * self.order.within

    def apply_record(self, record: RolloutRecord, *, now: timedelta) -> None:
        """Apply a newer record; a final state does not change."""
        self.record = record
        is_moving = self.state in (RolloutState.COMPLETING, RolloutState.ROLLING_BACK)
        if record.state is None or (record.state is RecordedState.MOVING and is_moving):
            return
        self.send(_EVENTS_BY_RECORDED[record.state], now=now)

    def send(self, event: str, *, now: timedelta) -> bool:
        """Process an event of the chart and return whether the state changed."""
        if self.is_over:
            return False
        before = self.state
        self._machine.send(event)
        if self.state is before:
            return False
        self.state_since = now
        return True

    def is_new(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint of the service runs the new version."""
        return endpoint.software == self.order.version

    def allows(self, endpoint: Endpoint, *, now: timedelta) -> bool:
        """Return whether an endpoint may get regular requests.

        Regular requests are those that are not trials. They go to the old version
        during the trial and after a rejection, and to the new version during and after
        the move.

        Args:
            endpoint: An endpoint of the service.
            now: The monotonic time.
        """
        is_new = self.is_new(endpoint)
        match self.state:
            case RolloutState.WITHDRAWN:
                return True
            case RolloutState.COMPLETING:
                return is_new
            case RolloutState.COMPLETED:
                return is_new or now - self.state_since > GRACE
        return not is_new
