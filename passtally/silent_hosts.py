"""Hosts that have recently failed to answer a request. Pure."""

from datetime import timedelta

import attrs

#: Time for which a host that did not answer is avoided if other hosts can be asked.
#: Gossip may report that it has the newest state although no link to it is up; a link
#: that was cut reconnects within 0.5 s once the host is reachable again.
AVOID_TIME = timedelta(seconds=2)


@attrs.define(kw_only=True)
class SilentHosts:
    """The hosts to avoid for a short time."""

    _until_by_host: dict[str, timedelta] = attrs.field(factory=dict)

    def record_silence(self, host_id: str, now: timedelta) -> None:
        """Record that a host did not answer.

        Args:
            host_id: The host.
            now: The monotonic time.
        """
        self._until_by_host[host_id] = now + AVOID_TIME

    def is_silent(self, host_id: str, now: timedelta) -> bool:
        """Return whether a host has failed to answer within AVOID_TIME.

        Args:
            host_id: The host.
            now: The monotonic time.
        """
        until = self._until_by_host.get(host_id)
        return until is not None and now < until
