"""Which endpoint a request goes to. Pure: typed views in, a decision out."""

import hashlib
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

import attrs

from passtally.objects import EndpointState


@attrs.frozen(kw_only=True)
class EndpointView:
    """What this entry host believes of one endpoint.

    Attributes:
        id: Its name.
        failure_domain: Where it stands.
        state: Whether it may get new work.
        own_streams: Requests of this host that are open there.
        reported_streams: Requests that its last report counted, all hosts'.
        own_at_report: This host's open requests when that report was made.
        report_age: How old that report is.
        max_streams: How many it takes at once.
        ejected_until: Until when it gets no new work, on the monotonic clock.
        resume_tokens: Tokens that this host's resumes still make it read.
        is_unstable: Whether a run was lost in its failure domain a moment ago, or a
            call by the endpoint itself.
        is_half_open: Whether a request is under way that shows whether it is back.
        kv_tokens: Tokens in its memory for this host's runs and replicas.
        prefill_tokens: Tokens of prompts that it is still to read, all hosts' as far
            as they are known.
        running_streams: Streams there that have output already, all hosts' as far as
            they are known.
        capacity_tokens: The tokens that its memory holds; 0 where that is not known.
        accepts_requests: Whether the limit that it names has room for a request of this
            host, and it has not asked this host for rest.
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

    @property
    def taken(self) -> int:
        """The places believed taken.

        This host counts its own requests exactly. What the report showed of other
        hosts' fades with its age: an endpoint that was once reported full would
        otherwise get no request, and so never a newer report.
        """
        others = max(0, self.reported_streams - self.own_at_report)
        faded = others * 0.5 ** (self.report_age / REPORT_HALF_LIFE)
        return self.own_streams + round(faded)

    @property
    def load(self) -> float:
        """The share of its places, or of its memory, believed taken."""
        places = self.taken / self.max_streams
        if not self.capacity_tokens:
            return places
        return max(places, self.kv_tokens / self.capacity_tokens)


@attrs.frozen(kw_only=True)
class RouteQuery:
    """What is to be placed.

    Attributes:
        affinity: What decides where its prompt prefix is likely cached.
        failure_domain: The asking host's own.
        exclude: Endpoints that lost this request before.
        resume_tokens: The tokens that an endpoint must read to go on with an
            answer; 0 for a new request.
        tokens: What it may take in an endpoint's memory; 0 where that is not known.
        prompt_tokens: What an endpoint must read; 0 where that is not known.
        suspect: The request, where several endpoints ended under it; else empty.
    """

    affinity: bytes
    failure_domain: str
    exclude: Collection[str] = ()
    resume_tokens: int = 0
    tokens: int = 0
    prompt_tokens: int = 0
    suspect: bytes = b""


@attrs.frozen(kw_only=True)
class RouteDecision:
    """Where a request goes, and why.

    Attributes:
        endpoint_id: The choice, or None where nothing can take it.
        candidates: The endpoints that were compared, for the log.
        reason: One short phrase for the log.
        ranked: The ids of the best ones, the choice first, where the load decided.
    """

    endpoint_id: str | None
    candidates: tuple[str, ...]
    reason: str
    ranked: tuple[str, ...] = ()


Choose = Callable[..., RouteDecision]

#: The time in which a report's word on other hosts' requests loses half its weight.
REPORT_HALF_LIFE = timedelta(seconds=2)
#: Tokens of resumes that one host makes one endpoint read at a time: the streams
#: of a dead endpoint come all at once and must not take the next one down.
RESUME_BUDGET = 16_000
#: An endpoint may be this many times as loaded as the mean, and a little more,
#: before its prefixes go to the next one.
LOAD_BOUND = 1.2
SLACK = 0.05
#: What a stream that runs at an endpoint counts there, as a part of the prompt that is
#: to be read: while an engine reads, a step takes some six times as long.
PREFILL_STALL_SHARE = 0.8
#: Another failure domain counts as so many more tokens to read: a fifth of a prompt.
FAR_TOKENS = 1_000
#: Endpoints count as equal within so many tokens.
EQUAL_TOKENS = 1_000
#: Candidates that a decision ranks, for who asks them before the choice.
MAX_RANKED = 4
#: Candidates named in a decision's log line.
MAX_LOGGED = 4
#: The part of a prompt that decides its affinity, in characters.
PREFIX_CHARACTERS = 256
#: Above this load an endpoint is passed over while another is below it.
BUSY_LOAD = 0.8


def choose_endpoint(
    query: RouteQuery, endpoints: Sequence[EndpointView], *, now: timedelta
) -> RouteDecision:
    """Choose by prefix affinity within a bound of the load.

    The endpoints stand in an order that the prefix decides; the first whose load
    is not far above the mean is taken, so that a popular prefix spreads. Local
    ones go first, others are used once the local are busy. Ejected ones are taken
    only where all are: this host itself may be at fault.

    Args:
        query: What is to be placed.
        endpoints: The service's endpoints.
        now: The monotonic time.
    """
    allowed = [view for view in endpoints if _is_allowed(view, query)]
    usable = [view for view in allowed if not _is_ejected(view, now)] or allowed
    usable = [view for view in usable if not view.is_unstable] or usable
    if not usable:
        return RouteDecision(
            endpoint_id=None, candidates=(), reason="no usable endpoint"
        )
    if query.suspect:
        return _choose_for_suspect(query, usable)
    if all(view.capacity_tokens for view in usable):
        return _choose_by_tokens(query, usable)
    if query.resume_tokens:
        return _choose_for_resume(query, usable)
    with_room = [view for view in usable if view.load < 1]
    if not with_room:
        names = tuple(view.id for view in usable)
        return RouteDecision(endpoint_id=None, candidates=names, reason="all full")
    local = [
        view
        for view in with_room
        if view.failure_domain == query.failure_domain and view.load < BUSY_LOAD
    ]
    pool = local or with_room
    ranked = sorted(pool, key=lambda view: affinity_rank(query.affinity, view.id))
    bound = LOAD_BOUND * (sum(view.load for view in pool) / len(pool)) + SLACK
    compared = [view for view in ranked if view.load <= bound] or ranked
    choice = compared[0]
    reason = "local, by prefix" if local else "spill-over, by prefix"
    if _is_ejected(choice, now):
        reason = "all are ejected, trying one"
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
    """Choose where a replica of a run is kept; empty where nothing can keep it.

    Another failure domain than the run's goes first, since endpoints of one domain
    are often lost together; then the host's own, so that it reaches the run or the
    replica if its domain is cut off from the others; then the least loaded.

    Args:
        primary_id: Where the run is.
        query: What runs.
        endpoints: The service's endpoints.
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
        is_far = view.failure_domain != query.failure_domain
        is_busy = view.load >= BUSY_LOAD
        rank = affinity_rank(query.affinity, view.id)
        return shares_domain, view.is_unstable, is_busy, is_far, view.load, rank

    return min(usable, key=cost).id if usable else ""


def _choose_by_tokens(
    query: RouteQuery, usable: Sequence[EndpointView]
) -> RouteDecision:
    """Choose where a prompt is read soonest, among endpoints of known memory.

    Prompts that are still to be read count in full, since a new one waits for them;
    what is in the memory slows each step a little, until it is full. Nearly equal
    endpoints stand in an order that the prompt decides, so that hosts that choose at
    the same moment choose apart.
    """

    def cost(view: EndpointView) -> tuple[int, bytes]:
        # What is still being read there will run, and be held up, by its turn.
        ahead = view.prefill_tokens + query.prompt_tokens * view.running_streams
        tokens = view.prefill_tokens + PREFILL_STALL_SHARE * ahead
        if view.failure_domain != query.failure_domain:
            tokens += FAR_TOKENS
        overflow = view.kv_tokens + query.tokens - view.capacity_tokens
        if overflow > 0:
            # It waits until runs have ended there, or makes one be read again.
            tokens += overflow + query.prompt_tokens
        rank = affinity_rank(query.affinity, view.id)
        return round(tokens / EQUAL_TOKENS), rank

    ranked = sorted(usable, key=cost)
    return RouteDecision(
        endpoint_id=ranked[0].id,
        candidates=tuple(
            f"{view.id}:{view.prefill_tokens}+{view.running_streams}"
            for view in ranked[:MAX_LOGGED]
        ),
        reason="least to read",
        ranked=tuple(view.id for view in ranked[:MAX_RANKED]),
    )


def _choose_for_suspect(
    query: RouteQuery, usable: Sequence[EndpointView]
) -> RouteDecision:
    """Choose the same endpoint at all hosts: its tries at once end no more than one."""
    with_room = [view for view in usable if view.load < 1] or usable
    ranked = sorted(with_room, key=lambda view: affinity_rank(query.suspect, view.id))
    return RouteDecision(
        endpoint_id=ranked[0].id,
        candidates=tuple(view.id for view in ranked[:MAX_LOGGED]),
        reason="endpoints ended under it",
    )


def _choose_for_resume(
    query: RouteQuery, usable: Sequence[EndpointView]
) -> RouteDecision:
    """Spread resumes: the endpoint that has the least to read for them goes first.

    A resume takes a place also where all are taken: its caller has waited already.
    """
    names = tuple(view.id for view in usable)
    open_views = [
        view
        for view in usable
        if not view.resume_tokens
        or view.resume_tokens + query.resume_tokens <= RESUME_BUDGET
    ]
    if not open_views:
        return RouteDecision(
            endpoint_id=None, candidates=names, reason="resume budget is spent"
        )

    def cost(view: EndpointView) -> tuple[float, bool, bytes]:
        is_far = view.failure_domain != query.failure_domain
        reading = view.resume_tokens / RESUME_BUDGET
        return view.load + reading, is_far, affinity_rank(query.affinity, view.id)

    choice = min(open_views, key=cost)
    return RouteDecision(
        endpoint_id=choice.id, candidates=names, reason="resume, least to read"
    )


def _is_allowed(view: EndpointView, query: RouteQuery) -> bool:
    is_open = view.state is EndpointState.ACTIVE and not view.is_half_open
    return is_open and view.accepts_requests and view.id not in query.exclude


def _is_ejected(view: EndpointView, now: timedelta) -> bool:
    return view.ejected_until is not None and view.ejected_until > now


def affinity_of(prompt: str) -> bytes:
    """Return what decides where a prompt's prefix is likely cached."""
    return prompt[:PREFIX_CHARACTERS].encode()


def affinity_rank(affinity: bytes, endpoint_id: str) -> bytes:
    """Return an endpoint's place in the order that a prefix decides."""
    return hashlib.blake2b(endpoint_id.encode() + affinity, digest_size=8).digest()
