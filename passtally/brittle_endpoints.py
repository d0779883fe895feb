"""Limits on the open requests at endpoints that fall over after rejections. Pure.

A brittle endpoint states how many rejections in a second it bears. How many requests it
has room for is a property of all hosts' requests together, and only its rejections show
it. Each host therefore limits its own open requests there: at first to its share of the
endpoint's places, then as the rejections of any host show. A rejection is sent to all
hosts, which keep to what they have open at that moment, less one. After a quiet time
hosts raise their limits by turns, so that the rejections by which they learn stay few.
"""

import random
from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs

from passtally.decision import log_event
from passtally.messages import BrittleRow
from passtally.objects import EndpointStart

#: Time after a rejection in which no host raises its limit. It is longer than the
#: second in which rejections count.
QUIET_TIME = timedelta(seconds=2)
#: Time after an endpoint first states that it is brittle in which no host raises its
#: limit: within some seconds the endpoint may let fewer requests wait.
FIRST_QUIET_TIME = timedelta(seconds=6)
#: Time after a rejection in which no host raises its limit above what the rejection
#: left. While requests take the places of those that end, one too many makes the
#: endpoint reject several until all hosts know.
CEILING_TIME = timedelta(seconds=10)
#: Time for which a start of a service that rejects requests is not tried by each host.
PRESSURE_TIME = timedelta(seconds=10)
#: Mean time between the raises of all hosts, for an endpoint that bears no rejection.
#: It is divided by one more than the number that the endpoint bears, and halved with
#: each further quiet time without a rejection.
RAISE_INTERVAL = timedelta(seconds=4)
#: Maximum number of these halvings.
MAX_HALVINGS = 2
#: Number of rejections borne above which the time between raises is not shortened.
MAX_BORNE = 20
#: Time after which an endpoint counts as sound if no answer states that it is brittle.
RETENTION_TIME = timedelta(seconds=30)
#: Difference between the times of one rejection as hosts compute them from its age.
SAME_REJECTION = timedelta(milliseconds=20)
#: Maximum number of endpoints whose state is sent to other hosts.
MAX_SENT = 64


@attrs.define(kw_only=True)
class _Brittle:
    """What is known of one brittle endpoint.

    Attributes:
        start: The start of the endpoint.
        borne: The number of rejections in a second that it bears; None if it is sound.
        observed_at: When an answer last stated this, on the monotonic clock.
        rejected_at: When it last rejected a request of any host; None if never.
        is_assumed: Whether no answer of this start is known, but other endpoints of its
            service are brittle.
        places: The number of requests that it runs at a time.
        limit: The maximum number of this host's open requests.
        ceiling: The limit above which it is not raised soon after a rejection.
        quiet_until: When hosts may begin to raise their limits.
        raised_at: When this host last raised its limit.
        turn: A random factor of this host's time between raises, with mean 1.
    """

    start: EndpointStart
    borne: int | None
    observed_at: timedelta
    rejected_at: timedelta | None = None
    is_assumed: bool = False
    places: int = 1
    limit: int = 1
    ceiling: int = 1
    quiet_until: timedelta = timedelta(0)
    raised_at: timedelta = timedelta(0)
    turn: float = 1.0


class BrittleEndpoints:
    """This host's limits on its open requests at brittle endpoints.

    Args:
        count_hosts: Returns the number of hosts, this one included.
        rank: Returns the number of hosts before this one in an endpoint's order.
        rng: The source of randomness for the turns in which hosts raise their limits.
    """

    def __init__(
        self,
        *,
        count_hosts: Callable[[], int] = lambda: 1,
        rank: Callable[[str], int] = lambda endpoint_id: 0,
        rng: random.Random | None = None,
    ) -> None:
        self._count_hosts = count_hosts
        self._rank = rank
        self._rng = rng or random.Random()
        #: A number that increases with each change that other hosts should know.
        self.revision = 0
        self._brittle_by_start: dict[EndpointStart, _Brittle] = {}

    def record_answer(
        self,
        start: EndpointStart,
        borne: int | None,
        *,
        is_rejected: bool,
        open_requests: int,
        places: int,
        sent_at: timedelta,
        now: timedelta,
    ) -> bool:
        """Record an answer, and return whether other hosts should be told.

        Args:
            start: The start of the endpoint.
            borne: The number of rejections in a second that it bears; None if the
                answer does not state that it is brittle.
            is_rejected: Whether the answer rejects the request for want of room.
            open_requests: The number of this host's open requests, this one included.
            places: The number of requests that the endpoint runs at a time.
            sent_at: When the request was sent, on the monotonic clock. An answer to an
                earlier request does not show that the endpoint is sound again.
            now: The monotonic time.
        """
        known = self._brittle_by_start.get(start)
        if borne is None and (known is None or sent_at < known.observed_at):
            return False
        revision = self.revision
        brittle = self._put(start, borne, observed_at=now, now=now)
        if borne is not None:
            self._set_places(brittle, places)
            if is_rejected:
                self._record_rejection(brittle, open_requests - 1, at=now)
        return self.revision != revision

    def assume(
        self, start: EndpointStart, *, places: int, like: EndpointStart, now: timedelta
    ) -> None:
        """Treat an endpoint like a brittle one of its service until it has answered.

        Args:
            start: The start of the endpoint, of which no answer is known.
            places: The number of requests that it runs at a time.
            like: The start of the other endpoint.
            now: The monotonic time.
        """
        if start in self._brittle_by_start:
            return
        other = self._brittle_by_start[like]
        brittle = self._put(start, other.borne, observed_at=now, now=now)
        brittle.is_assumed = True
        self._set_places(brittle, places)
        is_under_pressure = (
            other.rejected_at is not None and now - other.rejected_at < PRESSURE_TIME
        )
        if is_under_pressure:
            brittle.limit = self._share(brittle)
            brittle.quiet_until = now + QUIET_TIME

    def is_brittle(self, start: EndpointStart, *, now: timedelta) -> bool:
        """Return whether an answer of an endpoint stated that it is brittle."""
        brittle = self._find(start, now)
        return brittle is not None and not brittle.is_assumed

    def may_send(
        self, start: EndpointStart, *, open_requests: int, now: timedelta
    ) -> bool:
        """Return whether this host may open one more request at an endpoint."""
        brittle = self._find(start, now)
        if brittle is None or open_requests < brittle.limit:
            return True
        return brittle.limit < brittle.places and self._may_raise(brittle, now)

    def acquire(
        self, start: EndpointStart, *, open_requests: int, now: timedelta
    ) -> bool:
        """Return whether a request may be opened now, and raise the limit if needed."""
        if not self.may_send(start, open_requests=open_requests, now=now):
            return False
        brittle = self._find(start, now)
        if brittle is not None and open_requests >= brittle.limit:
            brittle.limit = open_requests + 1
            brittle.raised_at = now
            brittle.turn = self._rng.uniform(0.5, 1.5)
        return True

    def count(self, *, now: timedelta) -> int:
        """Return the number of brittle endpoints."""
        return sum(
            self._find(start, now) is not None for start in self._brittle_by_start
        )

    def rows(self, *, now: timedelta) -> list[BrittleRow]:
        """Return what to send to other hosts, the newest first."""
        for start, brittle in list(self._brittle_by_start.items()):
            if now - brittle.observed_at > RETENTION_TIME:
                del self._brittle_by_start[start]
        stated = [
            item for item in self._brittle_by_start.values() if not item.is_assumed
        ]
        newest = sorted(stated, key=lambda item: -item.observed_at)
        return [
            BrittleRow(
                endpoint_id=item.start.endpoint_id,
                incarnation=item.start.incarnation,
                borne=item.borne,
                age_ms=_to_ms(now - item.observed_at),
                places=item.places,
                rejected_ago_ms=(
                    None if item.rejected_at is None else _to_ms(now - item.rejected_at)
                ),
            )
            for item in newest[:MAX_SENT]
        ]

    def merge(
        self,
        rows: Iterable[BrittleRow],
        *,
        count_open: Callable[[str], int],
        now: timedelta,
    ) -> bool:
        """Apply what another host sent, and return whether to send it on.

        Args:
            rows: The rows.
            count_open: Returns the number of this host's open requests at an endpoint.
            now: The monotonic time.
        """
        revision = self.revision
        for row in rows:
            start = EndpointStart(
                endpoint_id=row.endpoint_id, incarnation=row.incarnation
            )
            known = self._brittle_by_start.get(start)
            observed_at = now - timedelta(milliseconds=row.age_ms)
            if known is None or observed_at > known.observed_at:
                known = self._put(start, row.borne, observed_at=observed_at, now=now)
                self._set_places(known, row.places)
            if row.rejected_ago_ms is None or known.borne is None:
                continue
            at = now - timedelta(milliseconds=row.rejected_ago_ms)
            if known.rejected_at is None or at > known.rejected_at + SAME_REJECTION:
                open_requests = count_open(row.endpoint_id)
                self._record_rejection(known, open_requests, at=at)
        return self.revision != revision

    def _put(
        self,
        start: EndpointStart,
        borne: int | None,
        *,
        observed_at: timedelta,
        now: timedelta,
    ) -> _Brittle:
        brittle = self._brittle_by_start.get(start)
        was = None if brittle is None else brittle.borne
        if brittle is None or (was is None and borne is not None):
            brittle = _Brittle(start=start, borne=borne, observed_at=observed_at)
            self._brittle_by_start[start] = brittle
            brittle.quiet_until = now + FIRST_QUIET_TIME
            brittle.turn = self._rng.uniform(0, 2)
        brittle.borne, brittle.observed_at = borne, observed_at
        brittle.is_assumed = False
        if was != borne:
            self.revision += 1
            log_event(
                "brittle",
                "Endpoint states how many rejections it bears.",
                peer=start.endpoint_id,
                borne=borne,
                was=was,
            )
        return brittle

    def _set_places(self, brittle: _Brittle, places: int) -> None:
        """Set the number of places; the first time, with this host's first limit.

        Before the first rejection each host may open one request. A host among hundreds
        would else refuse callers although the endpoint is idle.
        """
        if brittle.places == places:
            return
        brittle.places = places
        if brittle.rejected_at is None:
            brittle.limit = max(self._share(brittle), 1)

    def _record_rejection(
        self, brittle: _Brittle, open_requests: int, *, at: timedelta
    ) -> None:
        """Keep to what is open, less one, and raise the limit only after a while."""
        self.revision += 1
        is_first = brittle.rejected_at is None or at > brittle.quiet_until
        brittle.rejected_at = at
        kept = min(brittle.limit, open_requests) - 1
        brittle.limit = max(kept, self._share(brittle))
        if is_first:
            brittle.ceiling = max(brittle.limit, 1)
        brittle.quiet_until = max(brittle.quiet_until, at + QUIET_TIME)
        brittle.turn = self._rng.uniform(0, 2)
        log_event(
            "brittle",
            "Endpoint rejects requests.",
            peer=brittle.start.endpoint_id,
            limit=brittle.limit,
            open=open_requests,
        )

    def _share(self, brittle: _Brittle) -> int:
        """Return this host's share of the places, so that all shares fill them."""
        share, left = divmod(brittle.places, self._count_hosts())
        return share + (self._rank(brittle.start.endpoint_id) < left)

    def _may_raise(self, brittle: _Brittle, now: timedelta) -> bool:
        """Return whether it is this host's turn to raise its limit."""
        quiet = now - brittle.quiet_until
        if quiet < timedelta(0):
            return False
        is_recent = (
            brittle.rejected_at is not None and now - brittle.rejected_at < CEILING_TIME
        )
        if is_recent and brittle.limit >= brittle.ceiling:
            return False
        halvings = min(quiet // QUIET_TIME, MAX_HALVINGS)
        borne = min(brittle.borne, MAX_BORNE)
        interval = RAISE_INTERVAL / (1 + borne) / 2**halvings
        since = max(brittle.raised_at, brittle.quiet_until)
        return now >= since + brittle.turn * self._count_hosts() * interval

    def _find(self, start: EndpointStart, now: timedelta) -> _Brittle | None:
        brittle = self._brittle_by_start.get(start)
        if brittle is None or brittle.borne is None:
            return None
        return brittle if now - brittle.observed_at <= RETENTION_TIME else None


def _to_ms(duration: timedelta) -> int:
    return round(duration / timedelta(milliseconds=1))
