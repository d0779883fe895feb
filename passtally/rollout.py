"""One roll-out of a new version of a service, as one host sees it. Pure.

The new version first gets a bounded share of the requests. If it answers worse than the
version before it gets nothing more; if it surely does not, all hosts move to it, and
then the version before is stopped.
"""

from datetime import timedelta
from enum import StrEnum

import attrs

from passtally.objects import Endpoint
from passtally.statechart import Machine

#: The part of an order's time for which the new version is tried. It is used up also
#: where nothing speaks against it: some versions turn bad only later.
TRIAL_PART = 0.55
#: The part by which the status is to say how it ended; the rest is for a store that is
#: slow, and for the order's way to a host.
END_PART = 0.85
#: For how long after its end an endpoint of the version that is not to be used any more
#: is passed over: entries lapse after three heartbeats of 1.2 s, and settle for two.
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
    """What is recorded where the order came from.

    Nothing is recorded while the new version is tried.
    """

    #: It was found good, and all hosts are to move to it.
    MOVING = "moving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """What an operator asks for.

    Attributes:
        id: Tells it from others, also of the same service.
        service: The service.
        version: The version that its requests are to move to.
        within: The time that it may take.
    """

    id: str
    service: str
    version: str
    within: timedelta


@attrs.frozen(kw_only=True)
class RolloutRecord:
    """An order as it is stored.

    Attributes:
        order: The order.
        state: What was recorded of it, if anything.
        object_version: The stored object's version.
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
    """One roll-out on this host.

    Args:
        record: The order.
        now: The monotonic time; the order's time counts from here.
    """

    def __init__(self, *, record: RolloutRecord, now: timedelta) -> None:
        self.order = record.order
        self.record = record
        self.began_at = now
        self.state_since = now
        self._machine = Machine(chart="rollout")
        self.take(record, now=now)

    @property
    def state(self) -> RolloutState:
        """Where it stands."""
        return RolloutState(self._machine.state)

    @property
    def is_over(self) -> bool:
        """Whether it has ended."""
        return self._machine.is_final

    @property
    def trial_ends_at(self) -> timedelta:
        """Until when the new version is tried, on the monotonic clock."""
        return self.began_at + TRIAL_PART * self.order.within

    @property
    def must_end_at(self) -> timedelta:
        """By when it is to have ended, on the monotonic clock."""
        return self.began_at + END_PART * self.order.within

    def take(self, record: RolloutRecord, *, now: timedelta) -> None:
        """Take in what is recorded; a state that is final stays as it is."""
        self.record = record
        is_moving = self.state in (RolloutState.COMPLETING, RolloutState.ROLLING_BACK)
        if record.state is None or (record.state is RecordedState.MOVING and is_moving):
            return
        self.send(_EVENTS_BY_RECORDED[record.state], now=now)

    def send(self, event: str, *, now: timedelta) -> bool:
        """Take one event of the chart, and return whether the state changed."""
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
        """Return whether an endpoint may get requests that are not counted.

        While the new version is tried, and once it was found bad, that is the version
        before; while hosts move, and once they have moved, it is the new one.

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
