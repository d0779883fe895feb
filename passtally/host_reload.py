"""Lets a running host take settings that it is told anew.

What was made of a setting at the start would else stay as it was: each setting that a
host uses has something here that takes it. What is open goes on: requests, connections,
what endpoints were found to be, what is spent of the budgets.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from passtally.decision import log_event
from passtally.settings import Settings
from passtally.settings_change import Take, find_changes, hand_out, keep_untakeable

if TYPE_CHECKING:
    from passtally.front_host import FrontHost


class HostReload:
    """Hands each setting that changes to the part of a host that uses it.

    Args:
        host: The host.
    """

    def __init__(self, *, host: "FrontHost") -> None:
        self._host = host

    def take(self, told: Settings) -> None:
        """Put what has changed in force."""
        host = self._host
        takers_by_name = self.takers_by_name
        before = host.settings
        changes = find_changes(before, told)
        host.settings = keep_untakeable(before, told, takeable=takers_by_name)
        hand_out(changes, takers_by_name=takers_by_name)
        names = [change.name for change in changes]
        log_event("daemon", "Settings read again.", changed=names)

    @property
    def takers_by_name(self) -> Mapping[str, Take]:
        """What takes each setting that a host uses and may be told anew."""
        return {
            "region": self._use_when_needed,
            "grace": self._use_when_needed,
            "balancer_lag": self._use_when_needed,
        }

    def _use_when_needed(self) -> None:
        """Do nothing: such a setting is looked up whenever it is needed."""
