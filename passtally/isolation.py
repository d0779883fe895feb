"""Detects that this host is cut off or overloaded, so that the balancer avoids it.

Callers can still reach a host, or a whole failure domain, that is cut off from the
other domains, and it serves what it can. It is isolated if it reaches no host of
another failure domain, and in addition either receives no changes from the platform or
has no reachable endpoint left for some service. Hosts that are not cut off serve its
callers better: they reach all other endpoints and a replica of each run, and they
receive changes. An isolated host therefore asks the balancer for no new callers. A host
that gets too little processor time (:mod:`passtally.overload`) does the same.
"""

from collections.abc import Callable, Collection
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.overload import Overload
from passtally.peers import Peers
from passtally.reach_check import ReachCheck
from passtally.roster import Roster

#: Interval between checks. The balancer polls a host once a second and removes it after
#: two negative answers; a service that recovers must be noticed well before that. A
#: check connects to endpoints only while the host is cut off.
CHECK_INTERVAL = timedelta(milliseconds=250)
#: Log values for missing resources other than services.
PLATFORM = "the platform"
PROCESSOR = "processor time"


class Isolation:
    """Tracks whether the balancer should send this host no new callers.

    Args:
        reach: Checks whether endpoints are reachable.
        peers: The links to other hosts.
        roster: The known hosts.
        clock: The clock.
        services: Returns the services that callers may ask for.
        has_platform: Returns whether changes from the platform arrive on any path.
        overload: Detects that callers wait too long until this host accepts them.
        changed: Called with the new state whenever it changes.
    """

    def __init__(
        self,
        *,
        reach: ReachCheck,
        peers: Peers,
        roster: Roster,
        clock: Clock,
        services: Callable[[], Collection[str]],
        has_platform: Callable[[], bool],
        overload: Overload | None = None,
        changed: Callable[[bool], None] = lambda is_isolated: None,
    ) -> None:
        self._reach = reach
        self._peers = peers
        self._roster = roster
        self._clock = clock
        self._services = services
        self._has_platform = has_platform
        self._overload = overload or Overload()
        self._changed = changed
        self.is_isolated = False

    async def run(self) -> None:
        """Check once per interval, until cancelled."""
        while True:
            due_at = self._clock.monotonic() + CHECK_INTERVAL
            await self._clock.sleep(CHECK_INTERVAL)
            now = self._clock.monotonic()
            self._overload.record_timer(now - due_at, now=now)
            await self.check()

    async def check(self) -> None:
        """Update the state, and log and report a change."""
        missing = await self._find_missing()
        if self._overload.is_overloaded and self._roster.others():
            missing.append(PROCESSOR)
        is_isolated = bool(missing)
        if is_isolated == self.is_isolated:
            return
        self.is_isolated = is_isolated
        sentence = "Host is isolated." if is_isolated else "Host is no longer isolated."
        log_event("isolation", sentence, missing=sorted(missing))
        self._changed(is_isolated)

    async def _find_missing(self) -> list[str]:
        """Return what this host can't reach while it is cut off from other domains.

        This is the platform, or else the services without a reachable endpoint; if the
        host is not cut off, it is nothing.
        """
        if not await self._is_partitioned():
            return []
        if not self._has_platform():
            return [PLATFORM]
        domain = self._roster.failure_domain
        return [
            name
            for name in list(self._services())
            if not await self._reach.has_reachable(name, domain)
        ]

    async def _is_partitioned(self) -> bool:
        """Return whether no host of another failure domain is reachable."""
        far = self._roster.remote_ids()
        if not far:
            # During a long cut, gossip removes the hosts of other domains from the
            # roster, so an empty list does not show that the cut has healed.
            return self.is_isolated
        for host_id in far:
            if await self._peers.is_reachable(host_id):
                return False
        return True
