"""Adaptive silence limits, after which an endpoint is probed and may be given up.

A reset connection is noticed at once, but a frozen endpoint only shows as
silence. The limit adapts to each endpoint and phase, like a TCP retransmission
timer. Silence alone does not fail a stream: the endpoint is first probed for
its load. If it answers and its step counter advances, it is alive, however slow.
"""

from datetime import timedelta
from enum import StrEnum

import attrs

#: Gains of the smoothed mean and deviation of gaps, as in a TCP retransmission timer.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4


class Phase(StrEnum):
    """The output that a stream waits for."""

    FIRST_TOKEN = "first_token"
    NEXT_TOKEN = "next_token"


@attrs.frozen(kw_only=True)
class SilenceBounds:
    """The range and parameters of a silence limit.

    Attributes:
        initial: Limit before the first gap was observed.
        floor: Minimum of the limit.
        ceiling: Maximum of the limit.
        deviations: Number of mean deviations above the mean gap that set the limit.
        stuck_after: Silence after which a single stream is given up even if its
            endpoint is alive; None for never.
    """

    initial: timedelta
    floor: timedelta
    ceiling: timedelta
    deviations: float = 4.0
    stuck_after: timedelta | None = None


DEFAULT_BOUNDS_BY_PHASE = {
    Phase.FIRST_TOKEN: SilenceBounds(
        initial=timedelta(seconds=1.5),
        floor=timedelta(seconds=0.8),
        ceiling=timedelta(seconds=4),
    ),
    Phase.NEXT_TOKEN: SilenceBounds(
        initial=timedelta(seconds=0.8),
        floor=timedelta(seconds=0.4),
        ceiling=timedelta(seconds=1.5),
        stuck_after=timedelta(seconds=3),
    ),
}


class SilenceLimit:
    """The adaptive limit for one endpoint and phase.

    Args:
        bounds: The range and parameters of the limit.

    Attributes:
        stuck_after: Silence after which a single stream is given up even if its
            endpoint is alive; None for never.
    """

    def __init__(self, *, bounds: SilenceBounds) -> None:
        self.stuck_after = bounds.stuck_after
        self._bounds = bounds
        self._mean: float | None = None
        self._deviation = 0.0

    def observe(self, gap_seconds: float) -> None:
        """Update the limit with a gap that ended with a token.

        Args:
            gap_seconds: The length of the gap, in seconds.
        """
        if self._mean is None:
            self._mean = gap_seconds
            self._deviation = gap_seconds / 2
            return
        error = gap_seconds - self._mean
        self._mean += MEAN_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def current(self) -> timedelta:
        """Return the silence after which the endpoint is probed."""
        if self._mean is None:
            return self._bounds.initial
        wanted = self._mean + self._bounds.deviations * self._deviation
        limit = timedelta(seconds=wanted)
        return min(max(limit, self._bounds.floor), self._bounds.ceiling)


class Verdict(StrEnum):
    """The conclusion from the probes of an endpoint."""

    ALIVE = "alive"
    FROZEN = "frozen"


@attrs.define(kw_only=True)
class ProbeHistory:
    """The results of the probes of one silent endpoint.

    Attributes:
        last_step: The engine's step counter at the last probe, if any.
        stalled_probes: Number of consecutive probes that saw the counter unchanged.
    """

    last_step: int | None = None
    stalled_probes: int = 0

    def judge(self, step: int | None, *, max_stalled: int = 2) -> Verdict:
        """Add the result of a probe, and return the verdict.

        Args:
            step: The reported step counter, or None if no answer came in time.
            max_stalled: Number of consecutive unchanged counters from which the
                endpoint counts as frozen.
        """
        if step is None:
            return Verdict.FROZEN
        if step == self.last_step:
            self.stalled_probes += 1
        else:
            self.stalled_probes = 0
        self.last_step = step
        if self.stalled_probes >= max_stalled:
            return Verdict.FROZEN
        return Verdict.ALIVE
