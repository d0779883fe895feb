"""Measures how fast an endpoint produces the output of one attempt."""

from datetime import timedelta

from passtally.clock import Clock

#: Number of outputs after which the pace is known, and at most looked at.
MIN_OUTPUTS = 17
MAX_OUTPUTS = 65
#: Share of the gaps that are shorter than the pace. While an endpoint reads the prompt
#: of another request its steps take several times as long, which says nothing about its
#: speed.
SHORT_GAPS = 0.2


class PaceMeter:
    """The gaps between the first outputs of an attempt.

    Args:
        clock: The clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._outputs = 0
        self._last_at: timedelta | None = None
        self._gaps: list[timedelta] = []

    def record_output(self, count: int) -> None:
        """Record that outputs have arrived together.

        Args:
            count: Their number. Several outputs at once waited on the way, so that the
                gap before them is not the endpoint's.
        """
        if self._outputs >= MAX_OUTPUTS:
            return
        now = self._clock.monotonic()
        if self._last_at is not None and count == 1:
            self._gaps.append(now - self._last_at)
        self._last_at = now
        self._outputs += count

    @property
    def pace(self) -> timedelta | None:
        """The gap between two outputs while the endpoint does nothing else.

        None while too few outputs have arrived.
        """
        if len(self._gaps) < MIN_OUTPUTS - 1:
            return None
        return sorted(self._gaps)[int(SHORT_GAPS * len(self._gaps))]
