"""Finds the endpoints that have come back at the addresses of lost ones.

An endpoint that crashed is often back within a second or two, under another id. The
platform says so, unless it is away: then its hosts would send nothing to endpoints that
are back, and keep replicas at endpoints that are gone. So some hosts ask the addresses
of lost endpoints, and all learn the answers by gossip.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.live_endpoint import LiveEndpoint
from passtally.origin_keepers import MemberSource
from passtally.ranking import rank_of
from passtally.retry import LossKind
from passtally.task_set import TaskSet

#: Interval between questions to one address. An endpoint that restarts takes a second
#: or two; each question is billed like a health check.
SEARCH_INTERVAL = timedelta(seconds=1)
#: Time in which the platform reports an endpoint that is back, if it works: restart,
#: entry and watch take two seconds.
REPORT_TIME = timedelta(seconds=2.5)
#: Time after a loss for which its address is asked.
SEARCH_TIME = timedelta(seconds=10)


class SuccessorSearch:
    """Asks the addresses of lost endpoints which endpoint is there now.

    Args:
        fleet: The endpoints.
        members: The known hosts. One host of each failure domain asks an address.
        clock: The clock.
        is_informed: Returns whether this host receives changes of endpoints.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        members: MemberSource,
        clock: Clock,
        is_informed: Callable[[], bool],
    ) -> None:
        self._fleet = fleet
        self._members = members
        self._clock = clock
        self._is_informed = is_informed
        self._tasks = TaskSet()

    async def run(self) -> None:
        """Ask for the successors of lost endpoints, forever."""
        try:
            while True:
                await self._clock.sleep(SEARCH_INTERVAL)
                after = REPORT_TIME if self._is_informed() else timedelta(0)
                losses = self._fleet.losses
                self.ask(losses.list_recent(after=after, within=SEARCH_TIME))
        finally:
            await self._tasks.cancel()

    def ask(self, lost: Iterable[LiveEndpoint]) -> None:
        """Ask the addresses of lost endpoints, in the background."""
        for live in lost:
            if self._is_asker(live.endpoint.id):
                self._tasks.spawn(self._ask(live))

    def _is_asker(self, endpoint_id: str) -> bool:
        """Return whether this host is the one of its failure domain that asks."""
        own = self._members.own
        others = [
            row.host_id
            for row in self._members.others()
            if row.failure_domain == own.failure_domain
        ]
        return own.host_id == min(
            [own.host_id, *others], key=lambda host_id: rank_of(endpoint_id, host_id)
        )

    async def _ask(self, live: LiveEndpoint) -> None:
        try:
            await live.count_waiting()
        except AttemptLostError as loss:
            if loss.kind is LossKind.REPLACED:
                log_event(
                    "successor",
                    "Found at the address of a lost endpoint.",
                    peer=loss.successor,
                    lost=live.endpoint.id,
                )
                self._fleet.losses.record_replaced(live, loss.successor)
            return
        self._fleet.losses.record_back(live)
