"""Tells when a host is cut off, or can't keep up, and others serve its callers better.

Callers still reach a host, or a whole failure domain, that is cut off from the others.
What it can serve it serves. But where it reaches neither the platform nor any host of
another failure domain, or has no endpoint of a service left, hosts that are not cut off
serve its callers better: they have all other endpoints, each run has a replica that
they reach, and they learn of changes. So it asks the balancer for no new callers. The
same holds for a host that gets too little processor (:mod:`passtally.overload`).
"""

from collections.abc import Callable, Collection
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.fleet import Fleet
from passtally.overload import Overload
from passtally.peers import Peers
from passtally.roster import Roster

#: How often it is looked at. The balancer asks once a second, and lets go of a host
#: after two answers; a service that is back must be seen well before that. Endpoints
#: are connected to only while the host is cut off.
CHECK_INTERVAL = timedelta(milliseconds=250)
#: How the log names what is missing besides services.
PLATFORM = "the platform"
PROCESSOR = "processor time"


class Isolation:
    """Whether this host is cut off from what its callers need.

    Args:
        fleet: The endpoints.
        peers: The links to other hosts.
        roster: Who is there.
        clock: The clock.
        services: Returns the services that callers may ask for.
        has_platform: Returns whether changes arrive from the platform, by whatever way.
        overload: Tells whether callers wait too long before this host takes them.
        changed: Called with each new answer.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        peers: Peers,
        roster: Roster,
        clock: Clock,
        services: Callable[[], Collection[str]],
        has_platform: Callable[[], bool],
        overload: Overload | None = None,
        changed: Callable[[bool], None] = lambda is_isolated: None,
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._roster = roster
        self._clock = clock
        self._services = services
        self._has_platform = has_platform
        self._overload = overload or Overload()
        self._changed = changed
        self.is_isolated = False

    async def run(self) -> None:
        """Look again and again, for ever."""
        while True:
            due_at = self._clock.monotonic() + CHECK_INTERVAL
            await self._clock.sleep(CHECK_INTERVAL)
            now = self._clock.monotonic()
            self._overload.record_timer(now - due_at, now=now)
            await self.check()

    async def check(self) -> None:
        """Look once."""
        missing = await self._find_missing()
        if self._overload.is_overloaded and self._roster.others():
            missing.append(PROCESSOR)
        is_isolated = bool(missing)
        if is_isolated == self.is_isolated:
            return
        self.is_isolated = is_isolated
        sentence = "Cut off." if is_isolated else "Not cut off any more."
        log_event("isolation", sentence, missing=sorted(missing))
        self._changed(is_isolated)

    async def _find_missing(self) -> list[str]:
        """Return what this host lacks, if it is cut off from the other domains.

        That is the platform, or else the services without an endpoint in reach.
        """
        if not await self._is_cut():
            return []
        if not self._has_platform():
            return [PLATFORM]
        domain = self._roster.failure_domain
        return [
            name
            for name in list(self._services())
            if not await self._fleet.has_reachable(name, domain)
        ]

    async def _is_cut(self) -> bool:
        """Return whether no host of another failure domain is in reach."""
        far = self._roster.far_ids()
        if not far:
            # A cut that lasts is forgotten by gossip, not healed by it.
            return self.is_isolated
        for host_id in far:
            if await self._peers.is_reachable(host_id):
                return False
        return True
