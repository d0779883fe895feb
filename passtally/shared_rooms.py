"""The rooms of services that this host shares with the other hosts."""

import hashlib
from collections.abc import Callable, Sequence
from datetime import timedelta
from functools import partial

from passtally.clock import Clock
from passtally.objects import EndpointState
from passtally.room import Room, SharedRoom, Totals
from passtally.routing import EndpointView
from passtally.usage import ServiceUsage
from passtally.usage_table import UsageTable

#: Share of the engines' memory that is granted. The rest absorbs what hosts admit
#: between two totals, and prompts that are longer than usual.
MEMORY_SHARE = 0.9
#: Requests that are admitted for each slot of an endpoint. A short queue there keeps it
#: busy while hosts learn that a slot is free.
REQUESTS_PER_SLOT = 1.25
#: Time in which hosts learn that room has become free. What is released meanwhile is
#: granted in advance, so that endpoints have the next request when a slot is free.
LEARNING_TIME = timedelta(milliseconds=100)
#: Time for which the room of the usable endpoints is not worked out anew.
ROOM_CACHE_TIME = timedelta(milliseconds=100)
#: Time after which other hosts than before round their part of a room up.
ROUNDING_PERIOD = timedelta(seconds=5)


class SharedRoomKeeper:
    """Works out this host's part of each shared room.

    Args:
        own_id: Returns this host's id.
        is_shared: Returns whether the room of a service is shared.
        views: Returns the views of a service's endpoints.
        table: The use of services by all hosts.
        clock: The clock.
        weight_of: Returns the weight of a workspace.
    """

    def __init__(
        self,
        *,
        own_id: Callable[[], str],
        is_shared: Callable[[str], bool],
        views: Callable[[str], Sequence[EndpointView]],
        table: UsageTable,
        clock: Clock,
        weight_of: Callable[[str], float] = lambda workspace: 1.0,
    ) -> None:
        self.is_shared = is_shared
        self._own_id = own_id
        self._views = views
        self._table = table
        self._clock = clock
        self._weight_of = weight_of
        self._rooms_by_service: dict[str, tuple[timedelta, float]] = {}

    def find(
        self, service_id: str, own: ServiceUsage, *, typical_size: float
    ) -> Room | None:
        """Return this host's part of a room, or None if the room is not shared.

        A service without usable endpoints has no room to share; routing refuses its
        requests.
        """
        if not self.is_shared(service_id):
            return None
        now = self._clock.monotonic()
        room = self._room(service_id, now, typical_size=typical_size)
        if not room:
            return None
        known = self._table.find(service_id, own, now=now)
        room += known.total.released * LEARNING_TIME.total_seconds()
        return SharedRoom(
            totals=Totals(
                usage=known.total, room=room, peak_by_priority=known.peak_by_priority
            ),
            reported=known.reported,
            rounding_of=partial(rounding_of, self._own_id(), now=now),
            typical_size=typical_size,
            weight_of=self._weight_of,
        )

    def _room(self, service_id: str, now: timedelta, *, typical_size: float) -> float:
        cached = self._rooms_by_service.get(service_id)
        if cached is not None and now - cached[0] < ROOM_CACHE_TIME:
            return cached[1]
        views = self._views(service_id)
        room = count_room(views, typical_size=typical_size, now=now)
        self._rooms_by_service[service_id] = (now, room)
        return room


def count_room(
    views: Sequence[EndpointView], *, typical_size: float, now: timedelta
) -> float:
    """Return the room of the usable endpoints of a service.

    Args:
        views: The views of the service's endpoints.
        typical_size: The usual room of a request, of which an endpoint runs a limited
            number whatever its memory holds.
        now: The monotonic time.
    """
    return sum(
        _room_of(view, typical_size=typical_size)
        for view in views
        if view.state is EndpointState.ACTIVE
        and view.accepts_requests
        and (view.ejected_until is None or view.ejected_until <= now)
    )


def _room_of(view: EndpointView, *, typical_size: float) -> float:
    slots = REQUESTS_PER_SLOT * view.max_streams * typical_size
    if not view.capacity_tokens:
        return slots
    return min(MEMORY_SHARE * view.capacity_tokens, slots)


def rounding_of(host_id: str, workspace: str, *, now: timedelta) -> float:
    """Return a number from 0 to below 1 that is evenly spread over the hosts.

    It changes from period to period, so that no host is always rounded down.

    Args:
        host_id: The host.
        workspace: The workspace whose part is rounded.
        now: The monotonic time.
    """
    period = now // ROUNDING_PERIOD
    text = f"{host_id} {workspace} {period}"
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest) / (1 << 32)
