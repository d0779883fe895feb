"""A limit on the request bodies that a host holds at once."""

from datetime import timedelta

import attrs

from passtally.metrics import Metric, Metrics, NoMetrics

#: Default limit on the bodies that a host holds, in bytes.
MAX_BODIES = 256 * 1024 * 1024
#: Retry-After of a request whose body the host can't hold at present.
BODY_RETRY_AFTER = timedelta(seconds=1)


class RequestBodies:
    """The bytes of the request bodies that a host holds.

    A body is held until its request ends, since another attempt may need it.

    Args:
        limit: The maximum number of bytes.
        metrics: The sink of metrics.
    """

    def __init__(self, *, limit: int, metrics: Metrics | None = None) -> None:
        self.limit = limit
        self.held = 0
        self._metrics = metrics or NoMetrics()

    def open(self) -> "RequestBody":
        """Return an empty body."""
        return RequestBody(bodies=self)

    def reserve(self, size: int) -> bool:
        """Hold more bytes; return False if the limit does not allow it."""
        if self.held + size > self.limit:
            self._metrics.count(Metric.BODIES_REFUSED)
            return False
        self.held += size
        return True


@attrs.define(kw_only=True, eq=False)
class RequestBody:
    """The bytes held for one request."""

    bodies: RequestBodies
    size: int = 0

    def reserve(self, size: int) -> bool:
        """Hold more bytes; return False if the host's limit does not allow it."""
        if not self.bodies.reserve(size):
            return False
        self.size += size
        return True

    def release(self) -> None:
        """Release all bytes."""
        self.bodies.held -= self.size
        self.size = 0
