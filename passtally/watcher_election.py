"""Election of the hosts of a failure domain that watch the platform. Pure.

There is no consensus. Each host decides by the watchers whose heartbeats it receives.
If there are too few watchers, each host starts after a delay that grows with the number
of hosts before it in the order of names, so that the loss of one watcher does not start
watches on all hosts. If there are too many, the last ones in that order stop. A surplus
watcher costs little, and a host without heartbeats of any watcher soon watches itself.
"""

from collections.abc import Collection
from datetime import timedelta

import attrs

#: Number of watchers in a large failure domain. With two of them, the crash of one does
#: not interrupt the changes.
WATCHERS = 2
#: Number of hosts of a domain up to which all of them watch, since fewer watchers would
#: save little.
SMALL_DOMAIN = 4
#: Time in which a started host only listens for watchers. It probes its seeds twice in
#: this time, and its initial listing is no older than that at the end.
JOIN_DELAY = timedelta(seconds=1.2)
#: Difference between the start delays of consecutive hosts while there is one watcher.
#: Changes still arrive then, and a heartbeat may take half a second.
START_STEP = timedelta(milliseconds=300)
#: The same difference for the first hosts while there is no watcher, and the number of
#: these hosts. A change must be in force two to three seconds after the platform stored
#: it. If the platform rejects a third of the hosts, one of six is almost certain to
#: reach it.
URGENT_START_STEP = timedelta(milliseconds=50)
URGENT_HOSTS = 6
#: The same difference for the hosts after those. If none of the first hosts reaches the
#: platform, it is most likely down, and each further watcher makes about four calls a
#: second. With this step, 8 hosts of a domain of 42 try in an outage of 8 s, not 14.
LATE_START_STEP = timedelta(seconds=4)
#: Time for which there must be enough other watchers before a host stops watching.
STOP_DELAY = timedelta(seconds=3)


def should_watch(
    own_id: str,
    domain_ids: Collection[str],
    watching_ids: Collection[str],
    *,
    is_watching: bool,
    watchers: int = WATCHERS,
    small_domain: int = SMALL_DOMAIN,
) -> bool:
    """Decide whether a host should watch the platform.

    A host starts only if there are too few watchers, whatever their names. A watcher
    stops only if there are enough watchers before it in the order of names. So the
    first watchers never stop, and no host replaces a working watcher.

    Args:
        own_id: The host's name.
        domain_ids: The reachable hosts of its failure domain, itself included.
        watching_ids: The hosts of its domain with a recent watcher's heartbeat.
        is_watching: Whether the host watches now.
        watchers: The sufficient number of watchers.
        small_domain: The number of hosts up to which all watch.
    """
    if len(domain_ids) <= small_domain:
        return True
    if not is_watching:
        return len(watching_ids) < watchers
    before = [host_id for host_id in watching_ids if host_id < own_id]
    return len(before) < watchers


def start_delay(
    own_id: str, domain_ids: Collection[str], watching_ids: Collection[str]
) -> timedelta:
    """Return the delay before a host starts to watch, so that hosts before it can.

    Args:
        own_id: The host's name.
        domain_ids: The reachable hosts of its failure domain, itself included.
        watching_ids: The hosts of its domain with a recent watcher's heartbeat.
    """
    if len(domain_ids) <= SMALL_DOMAIN:
        return timedelta(0)
    idle = [
        host_id
        for host_id in domain_ids
        if host_id < own_id and host_id not in watching_ids
    ]
    if watching_ids:
        return len(idle) * START_STEP
    urgent = min(len(idle), URGENT_HOSTS - 1)
    return urgent * URGENT_START_STEP + (len(idle) - urgent) * LATE_START_STEP


@attrs.define(kw_only=True)
class WatcherElection:
    """The election state of one host.

    Attributes:
        own_id: The host's name.
        started_at: Monotonic time of the host's start.
        is_watching: Whether the host is elected as a watcher now.
    """

    own_id: str
    started_at: timedelta
    is_watching: bool = False
    _needed_since: timedelta | None = None
    _had_watchers: bool = False
    _enough_since: timedelta | None = None

    def decide(
        self,
        domain_ids: Collection[str],
        watching_ids: Collection[str],
        *,
        now: timedelta,
    ) -> bool:
        """Update the election by the current watchers, and return whether to watch.

        Args:
            domain_ids: The reachable hosts of its failure domain, itself included.
            watching_ids: The hosts of its domain with a recent watcher's heartbeat.
            now: The monotonic time.
        """
        # The start delay is shorter without any watcher, so it restarts once there is
        # one again. Otherwise it has expired on most hosts after an outage of 5.5 s: 17
        # of 19 hosts requested all changes at once.
        if watching_ids and not self._had_watchers:
            self._needed_since = None
        self._had_watchers = bool(watching_ids)
        if should_watch(
            self.own_id, domain_ids, watching_ids, is_watching=self.is_watching
        ):
            self._enough_since = None
            joined_at = self.started_at + JOIN_DELAY
            self._needed_since = self._needed_since or max(now, joined_at)
            delay = start_delay(self.own_id, domain_ids, watching_ids)
            if now - self._needed_since >= delay:
                self.is_watching = True
            return self.is_watching
        self._needed_since = None
        self._enough_since = self._enough_since or now
        if now - self._enough_since >= STOP_DELAY:
            self.is_watching = False
        return self.is_watching
