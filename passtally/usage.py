"""What requests use of the room of a service, and what they wait for. Pure.

Room is counted in tokens of KV memory for engines of known capacity, and in concurrent
requests for all other endpoints.
"""

from collections.abc import Iterable, Mapping
from typing import Self

import attrs

from passtally.admission_request import Claimant, Standing


@attrs.frozen(kw_only=True)
class Use:
    """What some requests use of a service's room, and want of it.

    Attributes:
        held: The room of the requests that were admitted and have not ended.
        waiting: The room that queued requests wait for.
        refused: The room that requests wanted which were refused in the last second.
        promised: The room that callers will want who were told when to return.
    """

    held: float = 0.0
    waiting: float = 0.0
    refused: float = 0.0
    promised: float = 0.0

    @property
    def demand(self) -> float:
        """All that is used or wanted now."""
        return self.held + self.waiting + self.refused

    def __add__(self, other: Self) -> Self:
        """Return the sum of both."""
        return Use(
            held=self.held + other.held,
            waiting=self.waiting + other.waiting,
            refused=self.refused + other.refused,
            promised=self.promised + other.promised,
        )


NO_USE = Use()


@attrs.frozen(kw_only=True)
class ServiceUsage:
    """The use of one service by one host, or by several.

    Attributes:
        hosts: The number of hosts that use the service.
        by_standing: The use by the standing of the requests.
        by_claimant: The use by workspace and standing, for the largest ones only.
        released: The room that became free in the last second.
    """

    hosts: int = 0
    by_standing: Mapping[Standing, Use] = attrs.field(factory=dict)
    by_claimant: Mapping[Claimant, Use] = attrs.field(factory=dict)
    released: float = 0.0

    @property
    def held(self) -> float:
        """The room of all admitted requests."""
        return sum(use.held for use in self.by_standing.values())

    def of_standing(self, standing: Standing) -> Use:
        """Return the use of the requests of one standing."""
        return self.by_standing.get(standing, NO_USE)

    def of_claimant(self, claimant: Claimant) -> Use:
        """Return the use of a workspace; none if it is not among the largest."""
        return self.by_claimant.get(claimant, NO_USE)


NO_USAGE = ServiceUsage()


def add_up(usages: Iterable[ServiceUsage], *, max_claimants: int) -> ServiceUsage:
    """Return the use of several hosts or failure domains together.

    Args:
        usages: The use of each.
        max_claimants: The number of workspaces that are kept, the largest ones.
    """
    hosts, released = 0, 0.0
    by_standing: dict[Standing, Use] = {}
    by_claimant: dict[Claimant, Use] = {}
    for usage in usages:
        hosts += usage.hosts
        released += usage.released
        for standing, use in usage.by_standing.items():
            by_standing[standing] = by_standing.get(standing, NO_USE) + use
        for claimant, use in usage.by_claimant.items():
            by_claimant[claimant] = by_claimant.get(claimant, NO_USE) + use
    return ServiceUsage(
        hosts=hosts,
        by_standing=by_standing,
        by_claimant=pick_largest(by_claimant, max_claimants),
        released=released,
    )


def pick_largest(
    by_claimant: Mapping[Claimant, Use], count: int
) -> dict[Claimant, Use]:
    """Return those that use or want most, up to a number of them."""
    ranked = sorted(by_claimant.items(), key=lambda item: (-item[1].demand, item[0]))
    return dict(ranked[:count])
