"""The messages between entry hosts.

They are encoded as arrays without field names. To stay compatible, new fields are only
added at the end, and with a default.
"""

from datetime import timedelta
from typing import Annotated

import msgspec

from passtally.objects import UNKNOWN_INCARNATION, EndpointStart
from passtally.settings import MAX_DURATION

_MAX_MS = MAX_DURATION // timedelta(milliseconds=1)
#: Durations that can be added to a time; negative for a time that is over.
Milliseconds = Annotated[int, msgspec.Meta(ge=-_MAX_MS, le=_MAX_MS)]
Microseconds = Annotated[int, msgspec.Meta(ge=-1000 * _MAX_MS, le=1000 * _MAX_MS)]


class CopiedRun(msgspec.Struct, array_like=True):
    """A run of token ids of one copy.

    Attributes:
        copy_id: The copy's id. A generation gets a new copy on each entry host.
        start: The position of the first token.
        token_ids: The token ids, four bytes each, little-endian.
    """

    copy_id: str
    start: int
    token_ids: bytes


class StoreCopies(msgspec.Struct, tag="store_copies", array_like=True):
    """A request to store runs of copies; answered by :class:`CopiesHeld`."""

    runs: list[CopiedRun]


class CopiesHeld(msgspec.Struct, tag="copies_held", array_like=True):
    """The number of stored tokens of each copy."""

    counts_by_id: dict[str, int]


class FetchCopy(msgspec.Struct, tag="fetch_copy", array_like=True):
    """A request for a copy; answered by :class:`CopyFound`."""

    copy_id: str


class CopyFound(msgspec.Struct, tag="copy_found", array_like=True):
    """A copy's token ids, four bytes each; empty if the host stores no such copy."""

    token_ids: bytes


class AskClaim(msgspec.Struct, tag="ask_claim", array_like=True):
    """A request to claim a key in its log; answered by :class:`ClaimAnswer`."""

    shard: int
    digest: bytes
    body_digest: bytes
    nonce: bytes
    holder: str


class ClaimAnswer(msgspec.Struct, tag="claim_answer", array_like=True):
    """The result of a claim.

    Attributes:
        verdict: The value of a :class:`passtally.claims.ClaimVerdict`.
        holder: The host that holds the claim.
    """

    verdict: str
    holder: str


class FetchResult(msgspec.Struct, tag="fetch_result", array_like=True):
    """A request for the result of a keyed call; answered by :class:`ResultFound`."""

    digest: bytes


class ResultFound(msgspec.Struct, tag="result_found", array_like=True):
    """The result of a call on the host that holds the claim of its key.

    Attributes:
        status: The HTTP status; 0 if the result is unknown or not there yet.
        headers: The response headers.
        body: The response body.
        body_digest: The digest of the request body.
        is_framed: Whether the end of the response body was marked.
    """

    status: int
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    body_digest: bytes = b""
    is_framed: bool = True


class MemberRow(msgspec.Struct, array_like=True, frozen=True):
    """The membership row of one host.

    Attributes:
        host_id: The host's name.
        failure_domain: The host's failure domain.
        counter: The incarnation number of the SWIM protocol. The host increments it
            when its name, failure domain, address or ``leaving`` changes, or when it
            refutes a row about itself.
        config_version: The configuration version in force on the host.
        leaving: Whether the host is stopping.
        address: The host's address for its peers; empty if settings name it.
        versions_by_prefix: The newest object version that the host knows under each
            prefix. Rows with the same counter are merged, so it may be a little old.
        state: The value of a :class:`passtally.member_table.MemberState`.
        tunnel_address: The host's address for tunnels; empty if it accepts none.
    """

    host_id: str
    failure_domain: str
    counter: int
    config_version: int
    leaving: bool
    address: str = ""
    versions_by_prefix: dict[str, int] = {}
    state: int = 0
    tunnel_address: str = ""


class DepartureRow(msgspec.Struct, array_like=True, frozen=True):
    """An incarnation of an endpoint that is leaving or has ended.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: The endpoint's start.
        successor: The endpoint that has its address now; empty if unknown.
        is_of_service: Whether the successor is known to be of the same service. Hosts
            of an earlier build only presume it, and do not send this.
    """

    endpoint_id: str
    incarnation: int
    successor: str = ""
    is_of_service: bool = False


class ExitRow(msgspec.Struct, array_like=True, frozen=True):
    """A start of an endpoint that a host has found to have exited.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: The endpoint's start.
    """

    endpoint_id: str
    incarnation: int


class Hello(msgspec.Struct, tag="hello", array_like=True):
    """A gossip probe with membership updates; answered by the same type.

    Attributes:
        rows: The sender's row first, then rows of other hosts.
        departures: Endpoints that are leaving.
        known: The number of other hosts that the sender knows as reachable.
        exits: Endpoints that were found to have exited.
    """

    rows: list[MemberRow]
    departures: list[DepartureRow] = []
    known: int = 0
    exits: list[ExitRow] = []


class FetchConfig(msgspec.Struct, tag="fetch_config", array_like=True):
    """A request for the changes after a version; see :class:`ConfigChanges`."""

    after: int
    prefix: str = "config/"


class ObjectRef(msgspec.Struct, array_like=True, frozen=True):
    """A reference to a state of an object that is too large for the message.

    Attributes:
        key: The object's key.
        version: The store-wide version of the change that led to this state.
    """

    key: str
    version: int


class ConfigChanges(msgspec.Struct, tag="config_changes", array_like=True):
    """Changed configuration objects, in the platform's format.

    Attributes:
        listing: The JSON of a :class:`passtally.object_store.Listing`; packed on hosts
            that serve by routes.
        large: Further changed objects, to be fetched in parts.
    """

    listing: bytes
    large: list[ObjectRef] = []


class FetchPart(msgspec.Struct, tag="fetch_part", array_like=True):
    """A request for a part of a large object; answered by :class:`ObjectPart`.

    Attributes:
        host_id: The name of the requesting host.
        ref: The state of the object.
        offset: The offset of the part in the packed object, in bytes.
    """

    host_id: str
    ref: ObjectRef
    offset: int


class ObjectPart(msgspec.Struct, tag="object_part", array_like=True):
    """A part of a packed object.

    Attributes:
        size: The size of the complete packed object in bytes; 0 if the host does not
            have it.
        data: The bytes of the part; empty if the host is busy with other requests.
    """

    size: int
    data: bytes = b""


class TokenLoad(msgspec.Struct, array_like=True, frozen=True):
    """The load of one host's runs on one endpoint.

    Attributes:
        held: The number of tokens in KV memory, for runs and replicas.
        reading: The number of prompt tokens that wait for prefill.
        running: The number of runs with output.
        incarnation: The endpoint's start, see :class:`passtally.objects.Endpoint`.
    """

    held: int = 0
    reading: int = 0
    running: int = 0
    incarnation: int = 0


class LimitRow(msgspec.Struct, array_like=True, frozen=True):
    """A request limit set by an endpoint; see :mod:`passtally.request_limits`.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: The endpoint's start.
        rate: The requests per second accepted from all hosts together; None for no
            limit.
        age_ms: The time since an answer set this limit, in milliseconds.
    """

    endpoint_id: str
    incarnation: int
    rate: float | None
    age_ms: Milliseconds


class BrittleRow(msgspec.Struct, array_like=True, frozen=True):
    """A brittle endpoint; see :mod:`passtally.brittle_endpoints`.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: The endpoint's start.
        borne: The rejections in a second that it bears; None if it is sound again.
        age_ms: The time since an answer stated this, in milliseconds.
        places: The number of requests that it runs at a time.
        rejected_ago_ms: The time since it last rejected a request, in milliseconds;
            None if no rejection is known.
    """

    endpoint_id: str
    incarnation: int
    borne: int | None
    age_ms: Milliseconds
    places: int
    rejected_ago_ms: Milliseconds | None


class HostNews(msgspec.Struct, tag="host_news", array_like=True):
    """The endpoint loads of one host, and the endpoints that it lost.

    Attributes:
        host_id: The sending host.
        loads_by_endpoint: The load on each endpoint; endpoints without load are left
            out.
        lost: Endpoints found dead since the host's last message.
        is_first: Whether the host has just started and does not know the loads of
            other hosts yet.
        lost_incarnations: The starts of the lost endpoints, in the same order.
        limits: The request limits of endpoints that the host knows.
        brittle: The brittle endpoints that the host knows.
    """

    host_id: str
    loads_by_endpoint: dict[str, TokenLoad]
    lost: list[str]
    is_first: bool = False
    lost_incarnations: list[int] = []
    limits: list[LimitRow] = []
    brittle: list[BrittleRow] = []

    def lost_starts(self) -> list[EndpointStart]:
        """Return the starts of the endpoints that the host found dead.

        Hosts of an earlier version send no incarnations.
        """
        unknown = [UNKNOWN_INCARNATION] * (len(self.lost) - len(self.lost_incarnations))
        incarnations = [*self.lost_incarnations, *unknown]
        return [
            EndpointStart(endpoint_id=endpoint_id, incarnation=incarnation)
            for endpoint_id, incarnation in zip(self.lost, incarnations, strict=False)
        ]


class ViewBeat(msgspec.Struct, tag="view_beat", array_like=True):
    """A heartbeat with the versions that a host knows.

    Attributes:
        host_id: The sending host.
        versions_by_prefix: The newest version of an object under each prefix.
        is_watching: Whether the host watches the platform. Other hosts send one such
            message when they have received changes with large objects that they can
            pass on.
    """

    host_id: str
    versions_by_prefix: dict[str, int]
    is_watching: bool = True


class ViewChanges(msgspec.Struct, tag="view_changes", array_like=True):
    """Objects that changed at the platform.

    Attributes:
        prefix: The key prefix of the objects.
        since: The newest object version before these changes. The message contains all
            changes after it.
        listing: The packed JSON of a :class:`passtally.object_store.Listing`.
        host_id: The sending host.
        large: Further changed objects, to be fetched in parts.
    """

    prefix: str
    since: int
    listing: bytes
    host_id: str
    large: list[ObjectRef] = []


class BorrowRepeats(msgspec.Struct, tag="borrow_repeats", array_like=True):
    """A request to borrow from a retry budget; answered by :class:`RepeatsLent`.

    Attributes:
        service: The service whose budget to borrow from.
        amount: The number of retries; may be a fraction.
        scope: The kind of budget; empty for retry budgets.
    """

    service: str
    amount: float
    scope: str = ""


class RepeatsLent(msgspec.Struct, tag="repeats_lent", array_like=True):
    """The number of retries lent to the requester; may be a fraction."""

    amount: float


class AnswerCounts(msgspec.Struct, array_like=True, frozen=True):
    """Answer counts of one route on one host; see :mod:`passtally.version_evidence`.

    Attributes:
        route: The route, or a measure of it.
        endpoint_id: The endpoint of the new version; empty for the previous version.
        answers: The number of expected answers, received or not.
        failures: The number of answers that failed or were incomplete.
        times: The number of answers in each bucket of response time, by bucket number.
    """

    route: str
    endpoint_id: str
    answers: int = 0
    failures: int = 0
    times: dict[int, int] = {}


class HostEvidence(msgspec.Struct, array_like=True, frozen=True):
    """The evidence of one host in a roll-out.

    Attributes:
        host_id: The host.
        life: An id of this run of the host, which distinguishes it from earlier runs.
        revision: A number that the host increments with each change.
        counts: The answer counts of the host.
        state: The state of the roll-out on the host.
        open_before: The number of the host's open requests to the previous version.
    """

    host_id: str
    life: int
    revision: int
    counts: list[AnswerCounts] = []
    state: str = ""
    open_before: int = 0


class RolloutNews(msgspec.Struct, tag="rollout_news", array_like=True):
    """Evidence of several hosts in a roll-out, forwarded by any host.

    Attributes:
        order_id: The id of the roll-out.
        hosts: The evidence of each host.
    """

    order_id: str
    hosts: list[HostEvidence]


class CrashRow(msgspec.Struct, array_like=True, frozen=True):
    """The crashes attributed to one request; see :mod:`passtally.quarantine`.

    Attributes:
        fingerprint: The request's fingerprint.
        crashed: The starts of endpoints that crashed while running the request, and
            may have crashed because of it.
        cleared: The starts of endpoints that crashed while running the request, but
            not because of it.
        age_ms: The time since the last crash, in milliseconds.
        weak: Further starts that crashed before they had begun to run the request,
            among other requests.
        strong: The starts in ``crashed`` to which the request was sent as a suspect.
    """

    fingerprint: bytes
    crashed: list[str]
    cleared: list[str]
    age_ms: Milliseconds
    weak: list[str] = []
    strong: list[str] = []


class QuarantineNews(msgspec.Struct, tag="quarantine_news", array_like=True):
    """The requests that a host knows to have run on endpoints when they crashed."""

    rows: list[CrashRow]


class FetchQuarantine(msgspec.Struct, tag="fetch_quarantine", array_like=True):
    """A request for all current crash rows; answered by :class:`QuarantineNews`."""


class FetchRoutes(msgspec.Struct, tag="fetch_routes", array_like=True):
    """A request for the routes in force; answered by :class:`RoutesFound`.

    Attributes:
        newer_than: The configuration version in force on the requesting host.
    """

    newer_than: int


class RoutesFound(msgspec.Struct, tag="routes_found", array_like=True):
    """The routes in force on a host.

    Attributes:
        listing: The packed listing of the object that holds them; empty if they are not
            newer than those of the requesting host.
    """

    listing: bytes = b""


class OriginRow(msgspec.Struct, array_like=True, frozen=True):
    """The software version at which an answer began, and where it runs.

    Attributes:
        key: The key of the answer; see :func:`passtally.origin_table.origin_key`.
        software: The version; empty if the sender does not know it yet.
        endpoint_id: The endpoint, if the version is not known.
        incarnation: The endpoint's start, if the version is not known.
        holder_id: The endpoint that runs the answer, or ran it last.
    """

    key: bytes
    software: str
    endpoint_id: str = ""
    incarnation: int = UNKNOWN_INCARNATION
    holder_id: str = ""


class TellOrigins(msgspec.Struct, tag="tell_origins", array_like=True):
    """The versions at which answers began, for a host that keeps them."""

    rows: list[OriginRow]


class AskOrigin(msgspec.Struct, tag="ask_origin", array_like=True):
    """A request for the version of an answer; answered by :class:`OriginFound`.

    Attributes:
        number: The number of the request at its sender.
        key: The key of the answer.
        service: The service of the answer.
    """

    number: int
    key: bytes
    service: str


class OriginFound(msgspec.Struct, tag="origin_found", array_like=True):
    """What a host knows of an answer.

    Attributes:
        number: The number of the request.
        row: What it was told; None if nothing, or nothing that can be relied on.
        age_ms: The time since it was last told, in milliseconds.
        versions: The versions that it saw in the service of late.
        is_current: Whether it receives all changes of endpoints.
        is_complete: Whether it knows all versions at which answers began that may still
            be taken up.
    """

    number: int
    row: OriginRow | None
    age_ms: Milliseconds
    versions: list[str]
    is_current: bool
    is_complete: bool = False


class UseRow(msgspec.Struct, array_like=True, frozen=True):
    """What requests of one standing use of a service; see :mod:`passtally.usage`.

    Attributes:
        rank: The rank of their priority.
        route_rank: The rank of their route.
        is_new: Whether their callers come for the first time.
        held: The room of the running requests.
        waiting: The room that queued requests wait for.
        refused: The room that requests wanted which were refused of late.
        promised: The room that callers will want who were told when to return.
        workspace: The workspace of the requests; empty for all workspaces.
    """

    rank: int
    route_rank: int
    is_new: bool
    held: int
    waiting: int = 0
    refused: int = 0
    promised: int = 0
    workspace: str = ""


class ServiceUsageRow(msgspec.Struct, array_like=True, frozen=True):
    """The use of one service.

    Attributes:
        service: The service.
        hosts: The number of hosts that use it.
        standings: The use by standing.
        claimants: The use by workspace and standing, for the largest ones.
        released: The room that became free in the last second.
    """

    service: str
    hosts: int
    standings: list[UseRow]
    claimants: list[UseRow] = []
    released: int = 0


class PaceRow(msgspec.Struct, array_like=True, frozen=True):
    """The pace of an endpoint; see :mod:`passtally.endpoint_speed`.

    Attributes:
        service: The endpoint's service.
        address: The endpoint's address.
        gap_us: The time between two outputs, in microseconds.
        age_ms: The time since the last sample, in milliseconds.
    """

    service: str
    address: str
    gap_us: Microseconds
    age_ms: Milliseconds


class PromiseRow(msgspec.Struct, array_like=True, frozen=True):
    """When a refused caller was told to return; see :mod:`passtally.promises`.

    Attributes:
        fingerprint: The fingerprint of its request.
        due_ms: The time until then, in milliseconds; negative if it is over.
    """

    fingerprint: bytes
    due_ms: Milliseconds


class UsageReport(msgspec.Struct, tag="usage_report", array_like=True):
    """The use of services by one host, for the host that adds up.

    Attributes:
        host_id: The sending host.
        services: The use of each service.
        paces: The paces that the host has measured since its last report.
        promises: What the host has told refused callers since then.
    """

    host_id: str
    services: list[ServiceUsageRow]
    paces: list[PaceRow] = []
    promises: list[PromiseRow] = []


class UsageSums(msgspec.Struct, tag="usage_sums", array_like=True):
    """The use of services by the hosts of one failure domain, for the other domains.

    Attributes:
        host_id: The host that added up.
        failure_domain: The failure domain.
        services: The use of each service.
        paces: Some of the known paces of endpoints.
    """

    host_id: str
    failure_domain: str
    services: list[ServiceUsageRow]
    paces: list[PaceRow] = []


class UsageTotals(msgspec.Struct, tag="usage_totals", array_like=True):
    """The use of services by all hosts, for the hosts that reported theirs.

    Attributes:
        host_id: The host that added up.
        services: The use of each service.
        paces: Some of the known paces of endpoints.
        promises: What hosts of this failure domain have told refused callers.
    """

    host_id: str
    services: list[ServiceUsageRow]
    paces: list[PaceRow] = []
    promises: list[PromiseRow] = []


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
    | FetchRoutes
    | RoutesFound
    | BorrowRepeats
    | RepeatsLent
    | RolloutNews
    | QuarantineNews
    | FetchQuarantine
    | TellOrigins
    | AskOrigin
    | OriginFound
    | UsageReport
    | UsageSums
    | UsageTotals
)

_decode = msgspec.msgpack.Decoder(Message).decode


def decode_message(payload: bytes) -> Message:
    """Decode a message of another host.

    Raises:
        ValueError: The message can't be decoded; the sender probably runs another
            version of passtally.
    """
    try:
        return _decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from error
