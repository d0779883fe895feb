"""The metrics' names, from which docs/METRICS.md is made, and where they go."""

from datetime import timedelta
from enum import StrEnum
from typing import Protocol

PREFIX = "passtally"


class Metric(StrEnum):
    """Every metric's name.

    Attributes:
        kind: The statsd type.
        unit: The unit.
        meaning: What it tells, for docs/METRICS.md.
    """

    kind: str
    unit: str
    meaning: str

    def __new__(cls, value: str, kind: str, unit: str, meaning: str) -> "Metric":
        """Make one metric."""
        metric = str.__new__(cls, value)
        metric._value_ = value
        metric.kind = kind
        metric.unit = unit
        metric.meaning = meaning
        return metric

    # Gauges come first: whoever collects metrics may keep only the first few thousand
    # bytes of a text, and these tell how the host stands now.
    OPEN = "open", "gauge", "1", "Open requests."
    CONFIG_VERSION = "config_version", "gauge", "1", "Configuration version in force."
    CONFIG_BEHIND = (
        "config_behind",
        "gauge",
        "ms",
        "For how long a newer configuration has been known elsewhere.",
    )
    PEERS_AWAY = "peers_away", "gauge", "1", "Hosts out of reach."
    PLATFORM_AWAY = (
        "platform_away",
        "gauge",
        "0 or 1",
        "Whether no changes of the platform arrive.",
    )
    PEER_BYTES = "peer_bytes", "gauge", "bytes", "Sent to peers since the start."
    CLAIM_WRITES = "claim_writes", "gauge", "1", "Claim writes since the start."
    ROLLOUTS = "rollouts", "gauge", "1", "Roll-outs of new versions under way."
    TRIALS = (
        "trials",
        "counter",
        "1",
        "Requests that tried a new version; the service follows the name.",
    )
    TRIAL_FAILURES = (
        "trial_failures",
        "counter",
        "1",
        "Answers of a new version that failed; the service follows the name.",
    )
    QUARANTINED = "quarantined", "gauge", "1", "Requests that are refused as crashing."
    QUARANTINES = "quarantines", "counter", "1", "Requests found to be crashing."
    REQUESTS = "requests", "counter", "1", "Generations taken or taken up."
    REFUSED = "refused", "counter", "1", "Refusals; the error code follows the name."
    ATTEMPTS = "attempts", "counter", "1", "Attempts started."
    LOST = "lost", "counter", "1", "Attempts lost; the kind follows the name."
    FIRST_TOKEN = "first_token", "timer", "ms", "From dispatch to the first token."
    RESUME = "resume", "timer", "ms", "From an attempt's loss to the next token."
    ANSWER = "answer", "timer", "ms", "From a request's arrival to its end."


class Metrics(Protocol):
    """Where metrics go."""

    def count(self, metric: Metric, part: str = "") -> None:
        """Count one."""

    def time(self, metric: Metric, duration: timedelta) -> None:
        """Record how long something took."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Record how much there is of something."""


class NoMetrics:
    """Drops all metrics."""

    def count(self, metric: Metric, part: str = "") -> None:
        """Count one."""

    def time(self, metric: Metric, duration: timedelta) -> None:
        """Record how long something took."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Record how much there is of something."""
