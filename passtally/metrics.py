"""The metrics with their descriptions, and the interface of metrics sinks."""

from datetime import timedelta
from enum import StrEnum
from typing import Protocol

PREFIX = "passtally"


class Metric(StrEnum):
    """Every metric, by its name without prefix.

    Attributes:
        kind: ``gauge``, ``counter`` or ``timer``.
        unit: The unit of the values.
        meaning: The description in docs/METRICS.md and in metrics text.
    """

    kind: str
    unit: str
    meaning: str

    def __new__(cls, value: str, kind: str, unit: str, meaning: str) -> "Metric":
        """Create a metric with its type, unit and description."""
        metric = str.__new__(cls, value)
        metric._value_ = value
        metric.kind = kind
        metric.unit = unit
        metric.meaning = meaning
        return metric

    # Gauges come first, as they show the current state of the host and collectors may
    # keep only the first few thousand bytes of the metrics text.
    OPEN = "open", "gauge", "1", "Open requests."
    CONFIG_VERSION = "config_version", "gauge", "1", "Active configuration version."
    CONFIG_BEHIND = (
        "config_behind",
        "gauge",
        "ms",
        "Time since another host was first known to have a newer configuration.",
    )
    PEERS_AWAY = "peers_away", "gauge", "1", "Unreachable peer hosts."
    PLATFORM_AWAY = (
        "platform_away",
        "gauge",
        "0 or 1",
        "1 while the host receives no changes from the platform.",
    )
    PEER_BYTES = "peer_bytes", "gauge", "bytes", "Bytes sent to peers since the start."
    BRITTLE = (
        "brittle",
        "gauge",
        "1",
        "Endpoints that state that they fall over if they reject too many requests.",
    )
    LINKS_DOWN = (
        "links_down",
        "gauge",
        "1",
        "Endpoints that this host currently does not reach directly.",
    )
    TUNNELS = (
        "tunnels",
        "gauge",
        "1",
        "Open connections of this host to endpoints through other hosts.",
    )
    TUNNELS_SERVED = (
        "tunnels_served",
        "gauge",
        "1",
        "Open connections of other hosts to endpoints through this host.",
    )
    WAITING = "waiting", "gauge", "1", "Requests that wait for admission."
    PROMISED = (
        "promised",
        "gauge",
        "1",
        "Refused callers, of this and other hosts, that are expected to return.",
    )
    USAGE_AGE = (
        "usage_age",
        "gauge",
        "ms",
        "Time since the last totals of what all hosts use of shared rooms.",
    )
    PACES_KNOWN = (
        "paces_known",
        "gauge",
        "1",
        "Engines whose pace is known.",
    )
    SLOW_ENDPOINTS = (
        "slow_endpoints",
        "gauge",
        "1",
        "Endpoints that other endpoints of their service are preferred to, since they"
        " are slow.",
    )
    UNREAD = (
        "unread",
        "gauge",
        "bytes",
        "Output that callers have not read yet.",
    )
    BODIES_HELD = "bodies_held", "gauge", "bytes", "Request bodies held."
    TUNNELS_REFUSED = (
        "tunnels_refused",
        "counter",
        "1",
        "Connections that this host did not open for another host; the reason follows"
        " the name.",
    )
    CLAIM_WRITES = (
        "claim_writes",
        "gauge",
        "1",
        "Writes of claims to the platform since the start.",
    )
    ROLLOUTS = "rollouts", "gauge", "1", "Roll-outs in progress."
    TRIALS = (
        "trials",
        "counter",
        "1",
        "Trial requests to new versions; the service follows the name.",
    )
    TRIAL_FAILURES = (
        "trial_failures",
        "counter",
        "1",
        "Failed answers of new versions; the service follows the name.",
    )
    QUARANTINED = (
        "quarantined",
        "gauge",
        "1",
        "Requests in quarantine for crashing endpoints.",
    )
    QUARANTINES = "quarantines", "counter", "1", "Requests put into quarantine."
    REQUESTS = (
        "requests",
        "counter",
        "1",
        "Generations started, or resumed for another host.",
    )
    ADMITTED = (
        "admitted",
        "counter",
        "1",
        "Requests admitted; their priority, 0 the most urgent, follows the name.",
    )
    NO_ROOM = (
        "no_room",
        "counter",
        "1",
        "Requests refused for lack of room; their priority follows the name.",
    )
    RETURNED = (
        "returned",
        "counter",
        "1",
        "Requests of callers that returned when a refusal had told them to.",
    )
    ADMISSION_WAIT = (
        "admission_wait",
        "timer",
        "ms",
        "Time in the queue of requests that were admitted after waiting.",
    )
    UNREAD_ABORTED = (
        "unread_aborted",
        "counter",
        "1",
        "Streams aborted because their callers did not read them.",
    )
    BODIES_REFUSED = (
        "bodies_refused",
        "counter",
        "1",
        "Requests refused because the host holds too many request bodies.",
    )
    ANSWERS_REFUSED = (
        "answers_refused",
        "counter",
        "1",
        "Answers of calls given up because the host holds too many of them.",
    )
    REFUSED = (
        "refused",
        "counter",
        "1",
        "Refused requests; the error code follows the name.",
    )
    TAKE_UPS = (
        "take_ups",
        "counter",
        "1",
        "Streams that callers take up midway; what was found of the software version"
        " that began them follows the name: known, backup, sole or unknown.",
    )
    VERSION_REFUSED = (
        "version_refused",
        "counter",
        "1",
        "Answers that no endpoint of the software version that began them was left for;"
        " the service follows the name.",
    )
    ATTEMPTS = "attempts", "counter", "1", "Attempts started at endpoints."
    HEDGES = "hedges", "counter", "1", "Second copies sent of calls that were slow."
    HEDGES_WON = (
        "hedges_won",
        "counter",
        "1",
        "Second copies of calls that were answered before the first ones.",
    )
    REPEATED_PREFILLS = (
        "repeated_prefills",
        "counter",
        "1",
        "Prompts that endpoints prefill again; the cause follows the name:"
        " lost_in_prefill, no_replica, replica_lost, replica_rejected or taken_up.",
    )
    LOST = "lost", "counter", "1", "Attempts lost; the kind of loss follows the name."
    FIRST_TOKEN = "first_token", "timer", "ms", "Time from dispatch to the first token."
    RESUME = (
        "resume",
        "timer",
        "ms",
        "Time from the loss of an attempt to the next token.",
    )
    ANSWER = "answer", "timer", "ms", "Time from the arrival of a request to its end."


class Metrics(Protocol):
    """A sink of metrics."""

    def count(self, metric: Metric, part: str = "") -> None:
        """Add one to a counter.

        Args:
            metric: The counter.
            part: The label that follows the name, such as an error code.
        """

    def time(self, metric: Metric, duration: timedelta) -> None:
        """Record a duration in a timer."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""


class NoMetrics:
    """A sink that drops all metrics."""

    def count(self, metric: Metric, part: str = "") -> None:
        """Drop a count."""

    def time(self, metric: Metric, duration: timedelta) -> None:
        """Drop a duration."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Drop a value."""
