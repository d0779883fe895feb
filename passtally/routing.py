"""Routing policy: chooses endpoints from views of them. Pure functions, no I/O."""

import hashlib
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

import attrs

from passtally.objects import EndpointState


@attrs.frozen(kw_only=True)
class EndpointView:
    """The state of one endpoint as this entry host knows it.

    Attributes:
        id: The endpoint's id.
        failure_domain: The endpoint's failure domain.
        state: Whether the endpoint may get new requests.
        own_streams: Number of this host's requests that are open at the endpoint.
        reported_streams: Number of requests of all hosts in the endpoint's last load
            report.
        own_at_report: Number of this host's open requests when that report was made.
        max_streams: Maximum number of concurrent requests.
        report_age: Age of the last load report.
        ejected_until: Time on the monotonic clock at which its ejection ends.
        resume_tokens: Tokens of this host's resumes that still wait for prefill there.
        is_unstable: Whether a run was recently lost in its failure domain, or the
            endpoint itself recently failed a call.
        is_half_open: Whether a request is open there that probes its recovery.
        kv_tokens: Tokens in its KV memory of runs and replicas, for all hosts whose
            loads are known.
        prefill_tokens: Prompt tokens that still wait for prefill there, for all hosts
            whose loads are known.
        running_streams: Streams there that have produced output, for all hosts whose
            loads are known.
        capacity_tokens: Capacity of its KV memory in tokens; 0 if unknown.
        accepts_requests: Whether its request limit has capacity for a request of this
            host, and it is not in back-off for this host.
        speed: Its speed beside the others of its service; 1 if it is usual or unknown.
        is_slow: Whether plain calls take a multiple of their usual time there now.
    """

    id: str
    failure_domain: str
    state: EndpointState
    own_streams: int
    reported_streams: int
    own_at_report: int
    max_streams: int
    report_age: timedelta = timedelta(0)
    ejected_until: timedelta | None = None
    resume_tokens: int = 0
    is_unstable: bool = False
    is_half_open: bool = False
    kv_tokens: int = 0
    prefill_tokens: int = 0
    running_streams: int = 0
    capacity_tokens: int = 0
    accepts_requests: bool = True
    speed: float = 1.0
    is_slow: bool = False

    @property
    def taken(self) -> int:
        """Estimated number of open requests.

        Requests of this host are counted exactly. The reported number of other
        hosts' requests decays with the age of the report: otherwise an endpoint that
        once reported itself full would get no request, and so never a newer report.
        """
        others = max(0, self.reported_streams - self.own_at_report)
        decayed = others * 0.5 ** (self.report_age / REPORT_HALF_LIFE)
        return self.own_streams + round(decayed)

    @property
    def load(self) -> float:
        """Estimated utilization of its streams or its KV memory, whichever is higher.

        1 is full.
        """
        stream_load = self.taken / self.max_streams
        if not self.capacity_tokens:
            return stream_load
        return max(stream_load, self.kv_tokens / self.capacity_tokens)


@attrs.frozen(kw_only=True)
class RouteQuery:
    """A request to be routed.

    Attributes:
        affinity: The start of its prompt, which selects the endpoints that likely
            cache the prefix.
        failure_domain: The failure domain that is preferred.
        exclude: Ids of endpoints that lost this request before.
        resume_tokens: Tokens that need prefill before the answer continues; 0 for a
            new request.
        tokens: Maximum number of tokens that it takes in KV memory; 0 if unknown.
        prompt_tokens: Tokens that need prefill; 0 if unknown.
        suspect: Fingerprint of the request if several endpoints crashed while running
            it, else empty.
        separated: Fingerprints of all suspects that get an endpoint apart from other
            requests, in a fixed order.
    """

    affinity: bytes
    failure_domain: str
    exclude: Collection[str] = ()
    resume_tokens: int = 0
    tokens: int = 0
    prompt_tokens: int = 0
    suspect: bytes = b""
    separated: Sequence[bytes] = ()


@attrs.frozen(kw_only=True)
class RouteDecision:
    """The endpoint chosen for a request, with the reason.

    Attributes:
        endpoint_id: Id of the chosen endpoint, or None if none can take the request.
        candidates: The endpoints that were compared, for the log.
        reason: A short phrase for logs and error messages.
        ranked: Ids of the best endpoints, the chosen one first. Empty unless the
            choice was by tokens.
    """

    endpoint_id: str | None
    candidates: tuple[str, ...]
    reason: str
    ranked: tuple[str, ...] = ()


Choose = Callable[..., RouteDecision]

#: Half-life of the weight of other hosts' requests in a load report.
REPORT_HALF_LIFE = timedelta(seconds=2)
#: Maximum number of resume tokens of one host that wait for prefill at one endpoint.
#: The streams of a dead endpoint are resumed all at once and would overload the next.
RESUME_BUDGET = 16_000
#: Bound of consistent hashing with bounded loads: an endpoint whose load is above
#: LOAD_BOUND times the mean plus LOAD_SLACK passes its prefixes on to the next one.
LOAD_BOUND = 1.2
LOAD_SLACK = 0.05
#: Cost of stalling one running stream, as a share of the prompt's prefill. During
#: prefill an engine's decode step takes about six times as long.
PREFILL_STALL_SHARE = 0.8
#: Cost of an endpoint in another failure domain, in prefill tokens: a fifth of a
#: typical prompt.
REMOTE_DOMAIN_TOKENS = 1_000
#: Costs are rounded to multiples of this number of tokens, so that endpoints of nearly
#: the same cost count as equal.
COST_STEP_TOKENS = 1_000
#: What a typical answer takes of an endpoint after its prefill, in prefill tokens. It
#: counts only where speeds differ.
DECODE_TOKENS = 10_000
#: Maximum number of ranked candidates in a decision, for the survey that queries them.
MAX_RANKED = 4
#: Maximum number of candidates in the log line of a decision.
MAX_LOGGED = 4
#: Length of the prompt prefix that determines its affinity, in characters.
PREFIX_CHARACTERS = 256
#: Maximum share of the usable endpoints that are reserved for suspects.
MAX_RESERVED_SHARE = 0.5
#: Load from which an endpoint is deprioritized while another is below it.
BUSY_LOAD = 0.8


def choose_endpoint(
    query: RouteQuery, endpoints: Sequence[EndpointView], *, now: timedelta
) -> RouteDecision:
    """Choose an endpoint for a request.

    Prefers endpoints that are neither ejected, unstable nor slow. Ejected ones are used
    only if all are ejected, since the fault may then be this host's own, and slow ones
    only while the others are full. If the KV capacity of all of them is known, the
    endpoint of the lowest prefill cost is chosen. Else it is chosen by prefix affinity
    with a bounded load: the prefix gives an order of the endpoints, and the first whose
    load is not far above the mean is chosen, so that a popular prefix spreads over
    several. Endpoints of other failure domains are used once the local ones are busy.

    Args:
        query: The request.
        endpoints: Views of the service's endpoints.
        now: The monotonic time.
    """
    allowed = [view for view in endpoints if _is_allowed(view, query)]
    usable = [view for view in allowed if not _is_ejected(view, now)] or allowed
    usable = [view for view in usable if not view.is_unstable] or usable
    fast = [view for view in usable if not view.is_slow]
    if any(view.load < 1 for view in fast):
        usable = fast
    if not usable:
        return RouteDecision(
            endpoint_id=None, candidates=(), reason="no usable endpoint"
        )
    reserved_ids = _reserve_for_suspects(query, usable)
    unreserved = [view for view in usable if view.id not in reserved_ids]
    if any(view.load < 1 for view in unreserved):
        usable = unreserved
    if query.suspect:
        return _choose_for_suspect(query, usable)
    if all(view.capacity_tokens for view in usable):
        return _choose_by_tokens(query, usable)
    if query.resume_tokens:
        return _choose_for_resume(query, usable)
    with_capacity = [view for view in usable if view.load < 1]
    if not with_capacity:
        names = tuple(view.id for view in usable)
        return RouteDecision(endpoint_id=None, candidates=names, reason="all full")
    local = [
        view
        for view in with_capacity
        if view.failure_domain == query.failure_domain and view.load < BUSY_LOAD
    ]
    pool = local or with_capacity
    ranked = sorted(pool, key=lambda view: affinity_rank(query.affinity, view.id))
    bound = LOAD_BOUND * (sum(view.load for view in pool) / len(pool)) + LOAD_SLACK
    compared = [view for view in ranked if view.load <= bound] or ranked
    choice = compared[0]
    reason = "local, by prefix" if local else "spill-over, by prefix"
    if _is_ejected(choice, now):
        reason = "all endpoints are ejected, trying one"
    return RouteDecision(
        endpoint_id=choice.id,
        candidates=tuple(view.id for view in compared[:MAX_LOGGED]),
        reason=reason,
    )


def choose_replica(
    primary_id: str,
    query: RouteQuery,
    endpoints: Sequence[EndpointView],
    *,
    now: timedelta,
) -> str:
    """Return the id of the endpoint that keeps a run's replica, or empty if none can.

    Prefers, in this order:

    - a failure domain other than the run's, since endpoints of one domain are often
      lost together
    - an endpoint that is not unstable
    - an endpoint that is not busy
    - the domain of this host, so that the host still reaches the run or the replica
      when its domain is partitioned from the others
    - the least loaded endpoint

    Args:
        primary_id: Id of the endpoint that runs the attempt.
        query: The request that runs.
        endpoints: Views of the service's endpoints.
        now: The monotonic time.
    """
    domain = next(
        (view.failure_domain for view in endpoints if view.id == primary_id), ""
    )
    usable = [
        view
        for view in endpoints
        if view.id != primary_id
        and _is_allowed(view, query)
        and not _is_ejected(view, now)
    ]

    def cost(view: EndpointView) -> tuple[bool, bool, bool, bool, float, bytes]:
        shares_domain = view.failure_domain == domain
        is_remote = view.failure_domain != query.failure_domain
        is_busy = view.load >= BUSY_LOAD
        rank = affinity_rank(query.affinity, view.id)
        return shares_domain, view.is_unstable, is_busy, is_remote, view.load, rank

    return min(usable, key=cost).id if usable else ""


def _choose_by_tokens(
    query: RouteQuery, usable: Sequence[EndpointView]
) -> RouteDecision:
    """Choose the endpoint of the lowest prefill cost; all KV capacities are known.

    Prompts that wait for prefill count in full, since a new prompt queues behind them.
    Tokens in KV memory cost nothing until the memory is full: they slow each step only
    slightly. Endpoints of nearly equal cost are ordered by a hash of the prompt, so
    that hosts that route different prompts at the same moment choose different ones.
    """

    def cost(view: EndpointView) -> tuple[int, bytes]:
        # Prompts that wait for prefill will be running streams, and stalled too, by the
        # time of this prompt's prefill.
        stalled_tokens = (
            view.prefill_tokens + query.prompt_tokens * view.running_streams
        )
        tokens = view.prefill_tokens + PREFILL_STALL_SHARE * stalled_tokens
        if view.speed != 1:
            tokens = _scale_by_speed(tokens, query, view.speed)
        if view.failure_domain != query.failure_domain:
            tokens += REMOTE_DOMAIN_TOKENS
        overflow = view.kv_tokens + query.tokens - view.capacity_tokens
        if overflow > 0:
            # The run waits until others have ended, or evicts one from the KV memory,
            # whose prompt then needs prefill again.
            tokens += overflow + query.prompt_tokens
        rank = affinity_rank(query.affinity, view.id)
        return round(tokens / COST_STEP_TOKENS), rank

    ranked = sorted(usable, key=cost)
    return RouteDecision(
        endpoint_id=ranked[0].id,
        candidates=tuple(
            f"{view.id}:{view.prefill_tokens}+{view.running_streams}"
            for view in ranked[:MAX_LOGGED]
        ),
        reason="lowest prefill cost",
        ranked=tuple(view.id for view in ranked[:MAX_RANKED]),
    )


def _scale_by_speed(tokens: float, query: RouteQuery, speed: float) -> float:
    """Return the cost at an endpoint that is faster or slower than usual.

    All that a request takes until its answer is complete counts: the prompts before it,
    its own, and its output. The cost at an endpoint of usual speed is without the last
    two, so they are taken off again.
    """
    own_tokens = query.prompt_tokens + DECODE_TOKENS
    return (tokens + own_tokens) / speed - own_tokens


def _reserve_for_suspects(
    query: RouteQuery, usable: Sequence[EndpointView]
) -> set[str]:
    """Return the ids of the endpoints that other requests' suspects are sent to.

    Each suspect gets the first endpoint of its own order that no suspect before it
    has, so that all hosts that know the same suspects and endpoints agree. None is
    reserved where suspects would take most of the endpoints.
    """
    id_by_suspect: dict[bytes, str] = {}
    if len(query.separated) > MAX_RESERVED_SHARE * len(usable):
        return set()
    for fingerprint in query.separated:
        free = [view.id for view in usable if view.id not in id_by_suspect.values()]
        id_by_suspect[fingerprint] = min(
            free, key=lambda name: affinity_rank(fingerprint, name)
        )
    id_by_suspect.pop(query.suspect, None)
    return set(id_by_suspect.values())


def _choose_for_suspect(
    query: RouteQuery, usable: Sequence[EndpointView]
) -> RouteDecision:
    """Choose the same endpoint on all hosts.

    Concurrent attempts of a request that crashes endpoints then crash only one.
    """
    with_capacity = [view for view in usable if view.load < 1] or usable
    ranked = sorted(
        with_capacity, key=lambda view: affinity_rank(query.suspect, view.id)
    )
    return RouteDecision(
        endpoint_id=ranked[0].id,
        candidates=tuple(view.id for view in ranked[:MAX_LOGGED]),
        reason="endpoints crashed while running it",
    )


def _choose_for_resume(
    query: RouteQuery, usable: Sequence[EndpointView]
) -> RouteDecision:
    """Choose by load and pending resume tokens, within the resume budget.

    The budget spreads the resumes of a dead endpoint. An endpoint at its stream limit
    may be chosen too, since the caller of a resume has waited already.
    """
    names = tuple(view.id for view in usable)
    within_budget = [
        view
        for view in usable
        if not view.resume_tokens
        or view.resume_tokens + query.resume_tokens <= RESUME_BUDGET
    ]
    if not within_budget:
        return RouteDecision(
            endpoint_id=None, candidates=names, reason="resume budget is spent"
        )

    def cost(view: EndpointView) -> tuple[float, bool, bytes]:
        is_remote = view.failure_domain != query.failure_domain
        reading = view.resume_tokens / RESUME_BUDGET
        return (
            view.load + reading,
            is_remote,
            affinity_rank(query.affinity, view.id),
        )

    choice = min(within_budget, key=cost)
    return RouteDecision(
        endpoint_id=choice.id, candidates=names, reason="resume, lowest load"
    )


def _is_allowed(view: EndpointView, query: RouteQuery) -> bool:
    is_available = view.state is EndpointState.ACTIVE and not view.is_half_open
    return is_available and view.accepts_requests and view.id not in query.exclude


def _is_ejected(view: EndpointView, now: timedelta) -> bool:
    return view.ejected_until is not None and view.ejected_until > now


def affinity_of(prompt: str) -> bytes:
    """Return the prefix of a prompt by which requests are routed to warm caches."""
    return prompt[:PREFIX_CHARACTERS].encode()


def affinity_rank(affinity: bytes, endpoint_id: str) -> bytes:
    """Return an endpoint's sort key in the order given by a prefix."""
    return hashlib.blake2b(endpoint_id.encode() + affinity, digest_size=8).digest()
