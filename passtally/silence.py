"""How long an endpoint may be silent before it is asked, then given up.

A reset is seen at once; a freeze shows only as silence. The limit adapts to
each endpoint and phase, as a retransmission timer does. Silence alone gives up
nothing: the endpoint is first asked for its load, and one that answers and
whose step counter moves is alive, however slow.
"""

from datetime import timedelta
from enum import StrEnum

import attrs

MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4


class Phase(StrEnum):
    """What a stream waits for."""

    FIRST_TOKEN = "first_token"
    NEXT_TOKEN = "next_token"


@attrs.frozen(kw_only=True)
class SilenceBounds:
    """Where a limit may move.

    Attributes:
        initial: The limit before anything was seen.
        floor: Never shorter than this.
        ceiling: Never longer than this.
        deviations: How many deviations above the mean count as silence.
        stuck_after: When a stream is given up though its endpoint lives; None
            for never.
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
        bounds: Where the limit may move.

    Attributes:
        stuck_after: When a stream is given up though its endpoint lives.
    """

    def __init__(self, *, bounds: SilenceBounds) -> None:
        self.stuck_after = bounds.stuck_after
        self._bounds = bounds
        self._mean: float | None = None
        self._deviation = 0.0

    def observe(self, gap_seconds: float) -> None:
        """Take in one gap that ended with a token.

        Args:
            gap_seconds: Its length in seconds.
        """
        if self._mean is None:
            self._mean = gap_seconds
            self._deviation = gap_seconds / 2
            return
        error = gap_seconds - self._mean
        self._mean += MEAN_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def current(self) -> timedelta:
        """Return the silence after which the endpoint is asked."""
        if self._mean is None:
            return self._bounds.initial
        wanted = self._mean + self._bounds.deviations * self._deviation
        limit = timedelta(seconds=wanted)
        return min(max(limit, self._bounds.floor), self._bounds.ceiling)


class Verdict(StrEnum):
    """What a probe showed."""

    ALIVE = "alive"
    FROZEN = "frozen"


@attrs.define(kw_only=True)
class ProbeHistory:
    """What the probes of one silent endpoint showed so far.

    Attributes:
        last_step: The engine's step counter at the last probe, if any.
        stalled_probes: How many probes in a row saw it unmoved.
    """

    last_step: int | None = None
    stalled_probes: int = 0

    def judge(self, step: int | None, *, max_stalled: int = 2) -> Verdict:
        """Take in one probe.

        Args:
            step: The step counter it reported, or None for no answer in time.
            max_stalled: How many unmoved counters in a row make it frozen.
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
