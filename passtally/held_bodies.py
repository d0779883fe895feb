"""A limit on the bodies of requests, or of answers, that a host holds at once."""

from datetime import timedelta

import attrs

from passtally.metrics import Metric, Metrics, NoMetrics
from passtally.settings import Settings

#: Default limit on the bodies of requests that a host holds, in bytes.
MAX_BODIES = 256 * 1024 * 1024
#: Maximum size of the answer to a plain call, in bytes.
MAX_ANSWER_BYTES = 16 << 20
#: Size up to which an answer does not count, in bytes, so that usual answers arrive
#: while others without end use up the limit.
FREE_ANSWER = 64 * 1024
#: Retry-After of a request whose body the host can't hold at present.
BODY_RETRY_AFTER = timedelta(seconds=1)


class HeldBodies:
    """The bytes of the bodies that a host holds.

    A request's body is held until its request ends, since another attempt may need it.

    Args:
        limit: The maximum number of bytes.
        free: The bytes of each body that do not count.
        metrics: The sink of metrics.
        refused: Counts the bodies that the limit did not allow.
    """

    def __init__(
        self,
        *,
        limit: int,
        free: int = 0,
        metrics: Metrics | None = None,
        refused: Metric = Metric.BODIES_REFUSED,
    ) -> None:
        self.limit = limit
        self.free = free
        self.held = 0
        self._metrics = metrics or NoMetrics()
        self._refused = refused

    @classmethod
    def of_answers(cls, settings: Settings, metrics: Metrics) -> "HeldBodies":
        """Return the limit on the answers that a host is reading."""
        return cls(
            limit=settings.max_answers,
            free=FREE_ANSWER,
            metrics=metrics,
            refused=Metric.ANSWERS_REFUSED,
        )

    def open(self) -> "HeldBody":
        """Return an empty body."""
        return HeldBody(bodies=self)

    def reserve(self, size: int) -> bool:
        """Hold more bytes; return False if the limit does not allow it."""
        if size and self.held + size > self.limit:
            self._metrics.count(self._refused)
            return False
        self.held += size
        return True


@attrs.define(kw_only=True, eq=False)
class HeldBody:
    """The bytes held for one request or answer.

    Attributes:
        bodies: The bodies of the host.
        size: The number of bytes, those that do not count included.
        counted: The number of bytes that count.
    """

    bodies: HeldBodies
    size: int = 0
    counted: int = 0

    def reserve(self, size: int) -> bool:
        """Hold more bytes; return False if the host's limit does not allow it."""
        counted = max(0, self.size + size - self.bodies.free)
        if not self.bodies.reserve(counted - self.counted):
            return False
        self.size += size
        self.counted = counted
        return True

    def release(self) -> None:
        """Release all bytes."""
        self.bodies.held -= self.counted
        self.size = self.counted = 0
