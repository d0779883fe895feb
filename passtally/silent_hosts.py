"""Hosts that did not answer a moment ago. Pure."""

from datetime import timedelta

import attrs

#: How long a host that did not answer is not asked where others can be. Gossip may
#: tell that it has the newest state of all while no link to it is up; a link that was
#: cut comes up within 0.5 s of its return.
AVOID_FOR = timedelta(seconds=2)


@attrs.define(kw_only=True)
class SilentHosts:
    """Which hosts are not to be asked for now."""

    _until_by_host: dict[str, timedelta] = attrs.field(factory=dict)

    def note(self, host_id: str, now: timedelta) -> None:
        """Take in that a host did not answer.

        Args:
            host_id: The host.
            now: The monotonic time.
        """
        self._until_by_host[host_id] = now + AVOID_FOR

    def is_silent(self, host_id: str, now: timedelta) -> bool:
        """Return whether a host did not answer a moment ago.

        Args:
            host_id: The host.
            now: The monotonic time.
        """
        until = self._until_by_host.get(host_id)
        return until is not None and now < until
