"""How many requests the endpoints of a service take at once."""

from collections.abc import Iterable

import attrs

from passtally.objects import EndpointState
from passtally.routing import EndpointView


@attrs.frozen(kw_only=True)
class Capacity:
    """The concurrent requests that endpoints accept, and the estimated number in use.

    Attributes:
        places: Total of the endpoints' limits of concurrent requests.
        taken: Estimated number of places in use.
    """

    places: int
    taken: int

    @classmethod
    def of(cls, views: Iterable[EndpointView]) -> "Capacity":
        """Return the capacity of the endpoints that may get requests."""
        available = [
            view
            for view in views
            if view.state is EndpointState.ACTIVE and view.accepts_requests
        ]
        return cls(
            places=sum(view.max_streams for view in available),
            taken=sum(min(view.taken, view.max_streams) for view in available),
        )

    @property
    def load(self) -> float:
        """The share of places in use; 0 without places, so that routing reports it."""
        return self.taken / self.places if self.places else 0.0
