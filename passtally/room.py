"""The room that admission grants: this host's load, or its part of a shared room. Pure.

Hosts that share a room work out their parts from the same totals, so that the parts add
up to the room, and no host waits for another one to admit a request.
"""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Protocol

import attrs

from passtally.admission_request import (
    AdmissionRequest,
    Claimant,
    RequestClass,
    Standing,
)
from passtally.fair_share import Demand, max_min_level
from passtally.priority import Priority
from passtally.usage import ServiceUsage, Use

#: Maximum share of the room that is kept free for more urgent requests after a peak.
MAX_RESERVE_SHARE = 0.5
#: Share of the room that each less urgent priority may use, whatever the more urgent
#: ones want, so that it is not starved.
MIN_SHARE = 0.1


class Room(Protocol):
    """The room of one service that this host may grant."""

    def fits(self, request: AdmissionRequest, own: ServiceUsage) -> bool:
        """Return whether a request may be admitted now.

        Args:
            request: The request.
            own: The use of the service by this host now.
        """

    def expected_wait(self, request: AdmissionRequest) -> timedelta | None:
        """Return how long a request that does not fit may have to wait.

        Returns:
            The time, or None if it is unknown.
        """

    def return_time(self, request: AdmissionRequest) -> timedelta | None:
        """Return when there is room if the caller of a request returns.

        Returns:
            The time, or None if it is unknown.
        """

    def explain(self, request: AdmissionRequest) -> dict[str, object]:
        """Return what a decision was made of, for its log line."""


@attrs.frozen(kw_only=True)
class LocalRoom:
    """The room of a service as far as this host knows it: the load of its endpoints.

    Attributes:
        load: The share of the service's capacity that is in use, 0 to 1.
        busy_load: Load from which a workspace at or above its share has to wait.
        job_load: Load from which jobs have to wait.
        shares_by_workspace: The weights of the workspaces that are active here.
    """

    load: float
    busy_load: float
    job_load: float
    shares_by_workspace: Mapping[str, int]

    def fits(self, request: AdmissionRequest, own: ServiceUsage) -> bool:
        """Return whether the load and the workspace's share allow a request."""
        is_job = request.request_class is RequestClass.JOB
        if is_job and self.load >= self.job_load:
            return False
        if self.load < self.busy_load:
            return True
        return self.load < 1 and self._is_below_share(request, own)

    def expected_wait(self, request: AdmissionRequest) -> timedelta | None:
        """Return None: the queue knows better how fast requests are admitted."""
        return None

    def return_time(self, request: AdmissionRequest) -> timedelta | None:
        """Return None: the queue knows better how fast requests are admitted."""
        return None

    def explain(self, request: AdmissionRequest) -> dict[str, object]:
        """Return the load."""
        return {"load": round(self.load, 2)}

    def _is_below_share(self, request: AdmissionRequest, own: ServiceUsage) -> bool:
        """Return whether a workspace runs less than its share of the requests here."""
        held_by_workspace: dict[str, float] = {}
        for claimant, use in own.by_claimant.items():
            held = held_by_workspace.get(claimant.workspace, 0.0)
            held_by_workspace[claimant.workspace] = held + use.held
        total_share = sum(self.shares_by_workspace.values())
        running = sum(held_by_workspace.values()) + request.size
        allowed = running * request.share / total_share
        return held_by_workspace.get(request.workspace, 0.0) < allowed


@attrs.frozen(kw_only=True)
class Totals:
    """The use of a service by all hosts, and the room that they share.

    Attributes:
        usage: The use by all hosts, this one included.
        room: The room of the service.
        peak_by_priority: The most that each priority has held of late.
    """

    usage: ServiceUsage
    room: float
    peak_by_priority: Mapping[Priority, float] = attrs.field(factory=dict)

    def left_for(self, standing: Standing) -> float:
        """Return the room for the requests of one standing beside the others.

        Those before them go first, and what more urgent priorities held at their recent
        peak stays free for them. Those after them keep a minimum, and what others of
        the same priority hold already: they do not give way.
        """
        demands = self.usage.by_standing.items()
        before = sum(use.demand for other, use in demands if other < standing)
        before += sum(
            use.held
            for other, use in demands
            if other > standing and other.priority == standing.priority
        )
        peaks = self.peak_by_priority.items()
        peak = sum(most for other, most in peaks if other < standing.priority)
        reserved = max(before, min(peak, MAX_RESERVE_SHARE * self.room))
        minimum = MIN_SHARE * self.room
        kept = sum(
            min(use.demand, minimum)
            for other, use in demands
            if other.priority > standing.priority
        )
        return max(self.room - reserved - kept, minimum)


class SharedRoom:
    """This host's part of a room that all hosts share.

    Workspaces share the room of a standing by max-min. One that wants less than its
    share is admitted at any host. Of the share of one that wants more, each host has
    the part that its demand is of the workspace's demand at all hosts.

    Args:
        totals: The use by all hosts, and the room.
        reported: The use by this host that the totals contain.
        rounding_of: Returns a number from 0 to below 1 for each workspace, evenly
            spread over the hosts. A part of 2.3 requests is rounded up where it is
            above 0.7, so that the parts of all hosts together fill the room.
        typical_size: The usual room of a request. Parts are rounded by this and not by
            the request's own size, so that large requests are admitted like small ones.
        weight_of: Returns the weight of a workspace.
    """

    def __init__(
        self,
        *,
        totals: Totals,
        reported: ServiceUsage,
        rounding_of: Callable[[str], float],
        typical_size: float,
        weight_of: Callable[[str], float] = lambda workspace: 1.0,
    ) -> None:
        self._totals = totals
        self._reported = reported
        self._rounding_of = rounding_of
        self._typical_size = typical_size
        self._weight_of = weight_of
        self._levels_by_standing: dict[Standing, float | None] = {}

    def fits(self, request: AdmissionRequest, own: ServiceUsage) -> bool:
        """Return whether a request fits into this host's part of the room."""
        part = self.part(request.claimant)
        if part is None:
            return True
        rounding = self._rounding_of(request.workspace)
        margin = (1 - rounding) * self._typical_size
        return own.of_claimant(request.claimant).held <= part - margin

    def part(self, claimant: Claimant) -> float | None:
        """Return this host's part of a workspace's share; None if it has no limit."""
        level = self.level(claimant.standing)
        if level is None:
            return None
        share = level * self._weight_of(claimant.workspace)
        demand = self._totals.usage.of_claimant(claimant).demand
        if demand <= share:
            return None
        return share * self._reported.of_claimant(claimant).demand / demand

    def level(self, standing: Standing) -> float | None:
        """Return what a workspace of weight 1 may hold; None if all demand is met."""
        if standing not in self._levels_by_standing:
            self._levels_by_standing[standing] = self._find_level(standing)
        return self._levels_by_standing[standing]

    def expected_wait(self, request: AdmissionRequest) -> timedelta | None:
        """Return when enough room is expected to be free for a request that waits."""
        ahead = self._count_ahead(request, request.standing, lambda use: use.waiting)
        return self._time_to_free(request, ahead)

    def return_time(self, request: AdmissionRequest) -> timedelta | None:
        """Return when there is room if the caller of a request returns.

        Callers that were told earlier when to return go before it.
        """
        waiting = self._count_ahead(request, request.standing, lambda use: use.waiting)
        promised = self._count_ahead(
            request, request.standing.on_return, lambda use: use.promised
        )
        return self._time_to_free(request, waiting + promised)

    def explain(self, request: AdmissionRequest) -> dict[str, object]:
        """Return what a decision was made of, for its log line."""
        standing = request.standing
        return {
            "room": round(self._totals.room),
            "held": round(self._totals.usage.held),
            "demand": round(self._totals.usage.of_standing(standing).demand),
            "left": round(self._totals.left_for(standing)),
            "own_part": _round(self.part(request.claimant)),
            "level": _round(self.level(standing)),
            "hosts": self._totals.usage.hosts,
        }

    def _time_to_free(
        self, request: AdmissionRequest, ahead: float
    ) -> timedelta | None:
        usage = self._totals.usage
        if not usage.released:
            return None
        standing = request.standing
        free = self._totals.left_for(standing) - usage.of_standing(standing).held
        needed = max(ahead + request.size - free, 0.0)
        return timedelta(seconds=needed / usage.released)

    def _count_ahead(
        self,
        request: AdmissionRequest,
        standing: Standing,
        amount_of: Callable[[Use], float],
    ) -> float:
        """Return the room that goes to others before a request of one standing.

        Workspaces take turns, so that one that wants little does not wait for all that
        the others want.

        Args:
            request: The request.
            standing: Its standing at that time.
            amount_of: Returns the room that some requests want by then.
        """
        usage = self._totals.usage
        before = sum(
            amount_of(use)
            for other, use in usage.by_standing.items()
            if other < standing
        )
        listed = {
            claimant.workspace: amount_of(use)
            for claimant, use in usage.by_claimant.items()
            if claimant.standing == standing
        }
        own = listed.pop(request.workspace, 0.0)
        others = sum(min(amount, own + request.size) for amount in listed.values())
        # What is not listed are many small workspaces, each with its own turn.
        total = amount_of(usage.of_standing(standing))
        unlisted = max(total - own - sum(listed.values()), 0.0)
        return before + own + others + unlisted

    def _find_level(self, standing: Standing) -> float | None:
        usage = self._totals.usage
        demands = [
            Demand(amount=use.demand, weight=self._weight_of(claimant.workspace))
            for claimant, use in usage.by_claimant.items()
            if claimant.standing == standing
        ]
        # What is not listed are the smallest workspaces, whose demand is met in full.
        listed = sum(demand.amount for demand in demands)
        unlisted = max(usage.of_standing(standing).demand - listed, 0.0)
        return max_min_level(demands, self._totals.left_for(standing) - unlisted)


def _round(amount: float | None) -> int | None:
    return None if amount is None else round(amount)
