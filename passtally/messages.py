"""The messages between entry hosts.

They go over the wire as arrays, without the names of their fields: a field is only
added at the end, with a default.
"""

import msgspec

from passtally.objects import UNTOLD_START, EndpointStart


class CopiedRun(msgspec.Struct, array_like=True):
    """Token ids of one copy, from a position on.

    Attributes:
        copy_id: The copy; a generation has a new one on each entry host.
        start: The position of the first one.
        token_ids: The ids, four bytes each, little-endian.
    """

    copy_id: str
    start: int
    token_ids: bytes


class StoreCopies(msgspec.Struct, tag="store_copies", array_like=True):
    """Keep these runs; answered by :class:`CopiesHeld`."""

    runs: list[CopiedRun]


class CopiesHeld(msgspec.Struct, tag="copies_held", array_like=True):
    """How many tokens of each copy are held."""

    counts_by_id: dict[str, int]


class FetchCopy(msgspec.Struct, tag="fetch_copy", array_like=True):
    """Send a copy; answered by :class:`CopyFound`."""

    copy_id: str


class CopyFound(msgspec.Struct, tag="copy_found", array_like=True):
    """A copy's token ids, four bytes each; empty where none is held."""

    token_ids: bytes


class AskClaim(msgspec.Struct, tag="ask_claim", array_like=True):
    """Claim a key in its log; answered by :class:`ClaimAnswer`."""

    shard: int
    digest: bytes
    body_digest: bytes
    nonce: bytes
    holder: str


class ClaimAnswer(msgspec.Struct, tag="claim_answer", array_like=True):
    """How a claim ended.

    Attributes:
        verdict: A :class:`passtally.claims.ClaimVerdict`.
        holder: The host that holds the claim.
    """

    verdict: str
    holder: str


class FetchResult(msgspec.Struct, tag="fetch_result", array_like=True):
    """Tell how the call under a key ended; answered by :class:`ResultFound`."""

    digest: bytes


class ResultFound(msgspec.Struct, tag="result_found", array_like=True):
    """How a call ended on the host that held its key.

    Attributes:
        status: The HTTP status, or 0 where it is not known or not yet.
        headers: The headers.
        body: The body.
        body_digest: What identifies the request's body.
    """

    status: int
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    body_digest: bytes = b""


class MemberRow(msgspec.Struct, array_like=True, frozen=True):
    """What is known of one host.

    Attributes:
        host_id: Whose it is.
        failure_domain: Where it stands.
        counter: Goes up whenever the host changes what all must know of it, or
            contradicts what others say of it.
        config_version: The configuration version in force there.
        leaving: Whether it is stopping.
        address: Where its peers reach it; empty where they are told by settings.
        versions_by_prefix: The newest version known there of the objects under
            each prefix, as heard from the host itself or soon after.
        state: A :class:`passtally.member_table.MemberState`.
    """

    host_id: str
    failure_domain: str
    counter: int
    config_version: int
    leaving: bool
    address: str = ""
    versions_by_prefix: dict[str, int] = {}
    state: int = 0


class DepartureRow(msgspec.Struct, array_like=True, frozen=True):
    """One incarnation of an endpoint that is leaving."""

    endpoint_id: str
    incarnation: int


class Hello(msgspec.Struct, tag="hello", array_like=True):
    """What changed among the hosts; answered by another one of these.

    Attributes:
        rows: The sender's own row, and some of others.
        departures: Endpoints that are leaving.
        known: How many other hosts the sender knows to be in reach.
    """

    rows: list[MemberRow]
    departures: list[DepartureRow] = []
    known: int = 0


class FetchConfig(msgspec.Struct, tag="fetch_config", array_like=True):
    """Send what changed after a version; answered by :class:`ConfigChanges`."""

    after: int
    prefix: str = "config/"


class ObjectRef(msgspec.Struct, array_like=True, frozen=True):
    """One state of an object that is too large to be sent along.

    Attributes:
        key: The object.
        version: The store-wide version of its last change.
    """

    key: str
    version: int


class ConfigChanges(msgspec.Struct, tag="config_changes", array_like=True):
    """Configuration objects, as the platform lists them.

    Attributes:
        listing: The JSON of a :class:`passtally.object_store.Listing`; packed, where
            hosts serve by routes.
        large: Objects that changed too, to be fetched in parts.
    """

    listing: bytes
    large: list[ObjectRef] = []


class FetchPart(msgspec.Struct, tag="fetch_part", array_like=True):
    """Send a part of a large object; answered by :class:`ObjectPart`.

    Attributes:
        host_id: Who asks.
        ref: The object.
        offset: Where the part begins, in bytes of the packed object.
    """

    host_id: str
    ref: ObjectRef
    offset: int


class ObjectPart(msgspec.Struct, tag="object_part", array_like=True):
    """A part of a packed object.

    Attributes:
        size: The whole packed object's size in bytes; 0 where it is not held.
        data: The part; empty where the host is busy with others.
    """

    size: int
    data: bytes = b""


class TokenLoad(msgspec.Struct, array_like=True, frozen=True):
    """What runs take at one endpoint.

    Attributes:
        held: Tokens in its memory for runs and replicas.
        reading: Tokens of prompts that it is still to read.
        running: Runs that have output already.
        incarnation: Which start of it, see :class:`passtally.objects.Endpoint`.
    """

    held: int = 0
    reading: int = 0
    running: int = 0
    incarnation: int = 0


class LimitRow(msgspec.Struct, array_like=True, frozen=True):
    """The limit that an endpoint names; see :mod:`passtally.request_limits`.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: Which start of it.
        rate: The requests a second that it takes from all hosts; None for no limit.
        age_ms: How long ago an answer told so.
    """

    endpoint_id: str
    incarnation: int
    rate: float | None
    age_ms: int


class HostNews(msgspec.Struct, tag="host_news", array_like=True):
    """What one host's runs take at endpoints, and which endpoints it lost.

    Attributes:
        host_id: The host.
        loads_by_endpoint: What its runs take at each endpoint; all that take any.
        lost: Endpoints that it found gone since its last news.
        is_first: Whether the host has just started, and knows nobody's loads.
        lost_incarnations: Which starts of the lost endpoints, in the same order.
        limits: The limits that endpoints name, as far as it knows them.
    """

    host_id: str
    loads_by_endpoint: dict[str, TokenLoad]
    lost: list[str]
    is_first: bool = False
    lost_incarnations: list[int] = []
    limits: list[LimitRow] = []

    def lost_starts(self) -> list[EndpointStart]:
        """Return the starts of endpoints that it found gone.

        A host of an earlier version tells no incarnations.
        """
        untold = [UNTOLD_START] * (len(self.lost) - len(self.lost_incarnations))
        incarnations = [*self.lost_incarnations, *untold]
        return [
            EndpointStart(endpoint_id=endpoint_id, incarnation=incarnation)
            for endpoint_id, incarnation in zip(self.lost, incarnations, strict=False)
        ]


class ViewBeat(msgspec.Struct, tag="view_beat", array_like=True):
    """A host knows these versions.

    Attributes:
        host_id: The host.
        versions_by_prefix: The newest version of an object under each prefix.
        is_watching: Whether it watches the platform; others tell once, when they
            have learned something large that they can hand on.
    """

    host_id: str
    versions_by_prefix: dict[str, int]
    is_watching: bool = True


class ViewChanges(msgspec.Struct, tag="view_changes", array_like=True):
    """Objects that changed at the platform.

    Attributes:
        prefix: What their keys start with.
        since: The newest version of an object before; these are all changes after it.
        listing: The packed JSON of a :class:`passtally.object_store.Listing`.
        host_id: Who tells.
        large: Objects that changed too, to be fetched in parts.
    """

    prefix: str
    since: int
    listing: bytes
    host_id: str
    large: list[ObjectRef] = []


class BorrowRepeats(msgspec.Struct, tag="borrow_repeats", array_like=True):
    """Lend some of the repeats that are left; answered by :class:`RepeatsLent`.

    Attributes:
        service: Of which service.
        amount: How many, or what part of one.
        scope: Of which budgets; empty for those of repeats.
    """

    service: str
    amount: float
    scope: str = ""


class RepeatsLent(msgspec.Struct, tag="repeats_lent", array_like=True):
    """How many repeats, or what part of one, the asker may use."""

    amount: float


class AnswerCounts(msgspec.Struct, array_like=True, frozen=True):
    """What one host counted of one route's answers; see :mod:`version_evidence`.

    Attributes:
        route: The route, or a measure of it.
        endpoint_id: The endpoint of the new version; empty for the version before.
        answers: How many came, or should have.
        failures: How many of them failed or did not come whole.
        times: How many took how long, by the number of the time's bucket.
    """

    route: str
    endpoint_id: str
    answers: int = 0
    failures: int = 0
    times: dict[int, int] = {}


class HostEvidence(msgspec.Struct, array_like=True, frozen=True):
    """What one host tells of a roll-out.

    Attributes:
        host_id: The host.
        life: What tells its start from its earlier ones.
        revision: Goes up with each change.
        counts: What it counted.
        state: The state that the roll-out has there.
        open_before: Its requests that are open at the version before.
    """

    host_id: str
    life: int
    revision: int
    counts: list[AnswerCounts] = []
    state: str = ""
    open_before: int = 0


class RolloutNews(msgspec.Struct, tag="rollout_news", array_like=True):
    """What hosts tell of a roll-out, each of itself, handed on by others.

    Attributes:
        order_id: The roll-out.
        hosts: What they tell.
    """

    order_id: str
    hosts: list[HostEvidence]


class CrashRow(msgspec.Struct, array_like=True, frozen=True):
    """A request under which endpoints ended; see :mod:`passtally.quarantine`.

    Attributes:
        fingerprint: The request.
        crashed: The starts of endpoints that may have ended by it.
        cleared: The starts of endpoints that ended under it, and not by it.
        age_ms: How long ago the last one ended.
    """

    fingerprint: bytes
    crashed: list[str]
    cleared: list[str]
    age_ms: int


class QuarantineNews(msgspec.Struct, tag="quarantine_news", array_like=True):
    """What a host knows of requests under which endpoints ended."""

    rows: list[CrashRow]


class FetchQuarantine(msgspec.Struct, tag="fetch_quarantine", array_like=True):
    """Tell of all requests that matter; answered by :class:`QuarantineNews`."""


Message = (
    StoreCopies
    | CopiesHeld
    | FetchCopy
    | CopyFound
    | AskClaim
    | ClaimAnswer
    | Hello
    | FetchConfig
    | ConfigChanges
    | FetchResult
    | ResultFound
    | HostNews
    | ViewBeat
    | ViewChanges
    | FetchPart
    | ObjectPart
    | BorrowRepeats
    | RepeatsLent
    | RolloutNews
    | QuarantineNews
    | FetchQuarantine
)
