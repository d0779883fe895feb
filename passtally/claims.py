"""Claims idempotency keys in the platform, with many claims per write.

Each shard has a preferred writer, chosen by rendezvous hashing, that appends the claims
of all hosts, so that one write carries many claims. Correctness does not depend on it:
a host that cannot reach the preferred writer appends by itself, and the conditional
create of the next segment decides.
"""

import asyncio
import hashlib
import secrets
from collections.abc import Sequence
from datetime import timedelta

import attrs

from passtally.claim_log import (
    DIGEST_BYTES,
    NONCE_BYTES,
    Claim,
    ClaimLog,
    ClaimVerdict,
    Segment,
    Void,
    read_segment,
)
from passtally.clock import Clock
from passtally.decision import log_event
from passtally.messages import AskClaim, ClaimAnswer
from passtally.object_store import (
    ConflictError,
    Platform,
    PlatformError,
    StoredObject,
    ThrottledError,
    UnavailableError,
)
from passtally.peers import PeerError, Peers

CLAIMS_PREFIX = "claims/"
#: Minimum interval between a host's writes to one shard. With one writer per shard, the
#: number of shards bounds the write rate, independent of the number of hosts.
MIN_WRITE_INTERVAL = timedelta(milliseconds=50)
MAX_BATCH = 2000
MAX_APPEND_ATTEMPTS = 8
APPEND_TIMEOUT = timedelta(seconds=2)
APPEND_RETRY_DELAY = timedelta(milliseconds=100)
ASK_TIMEOUT = timedelta(seconds=1)
VOID_RETRY_DELAY = timedelta(seconds=1)
EXPIRE_INTERVAL = timedelta(seconds=30)


@attrs.frozen(kw_only=True)
class ClaimResult:
    """The verdict on a claim, and the host that holds the key.

    Attributes:
        verdict: The verdict.
        holder: The id of the host that holds the key; empty if that is unknown.
    """

    verdict: ClaimVerdict
    holder: str


@attrs.define(kw_only=True, eq=False)
class _Pending:
    claim: Claim
    result: "asyncio.Future[ClaimResult]"


class ShardWriter:
    """Appends to one shard's log, one write at a time.

    Args:
        shard: The shard's number.
        platform: The platform that stores the log.
        clock: The clock.
        retention: Minimum time that a claim stays in force.
    """

    def __init__(
        self, *, shard: int, platform: Platform, clock: Clock, retention: timedelta
    ) -> None:
        self.log = ClaimLog(retention=retention)
        self.write_count = 0
        self._prefix = f"{CLAIMS_PREFIX}{shard:04d}/"
        self._platform = platform
        self._clock = clock
        self._pending: list[_Pending] = []
        self._voids: list[Void] = []
        self._task: asyncio.Task[None] | None = None

    async def claim(self, claim: Claim) -> ClaimResult:
        """Claim a key, and wait until the log has decided or the append has failed."""
        future = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(claim=claim, result=future))
        self._wake()
        return await future

    def void(self, claim: Claim) -> None:
        """Void a claim whose request was not sent and never will be."""
        self._voids.append(Void(digest=claim.digest, nonce=claim.nonce))
        self._wake()

    async def expire(self, *, remove: bool) -> None:
        """Remove claims older than the retention from the local log.

        Args:
            remove: Whether to remove their segments from the platform, too.
        """
        numbers = self.log.expire(self._clock.monotonic())
        for number in numbers if remove else ():
            key = self._key(number)
            try:
                stored = await self._platform.get(key)
                if stored is not None:
                    await self._platform.delete(key, version=stored.version)
            except PlatformError as error:
                # A remaining segment is harmless: a host that lists it later
                # removes it.
                log_event("claims", "Could not remove a segment.", key=key, why=error)

    def _wake(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self._pending or self._voids:
            batch, self._pending = self._pending[:MAX_BATCH], self._pending[MAX_BATCH:]
            voids, self._voids = self._voids[:MAX_BATCH], self._voids[MAX_BATCH:]
            written = await self._append(batch, voids)
            if not written:
                self._voids.extend(voids)
            if self._voids and not written and not self._pending:
                await self._clock.sleep(VOID_RETRY_DELAY)
            else:
                await self._clock.sleep(MIN_WRITE_INTERVAL)

    async def _append(self, batch: list[_Pending], voids: list[Void]) -> bool:
        """Append until each claim of the batch is decided; return False on failure."""
        deadline = self._clock.monotonic() + APPEND_TIMEOUT
        nonce = secrets.token_bytes(NONCE_BYTES)
        try:
            for _ in range(MAX_APPEND_ATTEMPTS):
                await self._sync()
                undecided = self._resolve(batch)
                if not undecided and not voids:
                    return True
                segment = Segment(
                    nonce=nonce,
                    claims=tuple(item.claim for item in undecided),
                    voids=tuple(voids),
                )
                if await self._try_create(segment, deadline):
                    self._resolve(batch)
                    return True
        except PlatformError as error:
            log_event("claims", "Could not append.", why=error)
        finally:
            self._fail_unresolved(batch)
        return False

    async def _try_create(self, segment: Segment, deadline: timedelta) -> bool:
        """Create the next segment; return False if its number is already taken.

        After a lost answer the segment is read back; its nonce shows which writer
        created it.
        """
        number = self.log.next_number
        while True:
            sent_at = self._clock.monotonic()
            try:
                self.write_count += 1
                await self._platform.create(self._key(number), segment.to_json())
                break
            except ConflictError:
                return await self._read_back(number, segment)
            except (UnavailableError, ThrottledError):
                if self._clock.monotonic() >= deadline:
                    raise
                await self._clock.sleep(APPEND_RETRY_DELAY)
        now = self._clock.monotonic()
        if not self.log.is_fresh(now) or now - sent_at > APPEND_TIMEOUT * 10:
            raise UnavailableError(
                "host was suspended during the write", step="create", peer=""
            )
        self.log.apply(number, segment, now)
        return True

    async def _read_back(self, number: int, segment: Segment) -> bool:
        stored = await self._platform.get(self._key(number))
        if stored is None:
            self.log.synced_at = None
            return False
        _, found = _read_numbered(stored)
        self.log.apply(number, found, self._clock.monotonic())
        return found.nonce == segment.nonce

    async def _sync(self) -> None:
        if self.log.is_fresh(self._clock.monotonic()):
            return
        sent_at = self._clock.monotonic()
        listing = await self._platform.list_objects(self._prefix)
        segments = [_read_numbered(stored) for stored in listing.objects]
        self.log.reset(segments, sent_at)

    def _resolve(self, batch: Sequence[_Pending]) -> list[_Pending]:
        """Resolve the claims that the log decides; return one undecided per key."""
        undecided_by_digest: dict[bytes, _Pending] = {}
        for item in batch:
            if item.result.done():
                continue
            verdict = self.log.find_verdict(item.claim)
            if verdict is None:
                undecided_by_digest.setdefault(item.claim.digest, item)
                continue
            holder = self.log.holder(item.claim.digest)
            item.result.set_result(ClaimResult(verdict=verdict, holder=holder))
        return list(undecided_by_digest.values())

    def _fail_unresolved(self, batch: Sequence[_Pending]) -> None:
        failed = ClaimResult(verdict=ClaimVerdict.UNAVAILABLE, holder="")
        for item in batch:
            if not item.result.done():
                item.result.set_result(failed)

    def _key(self, number: int) -> str:
        return f"{self._prefix}{number:012d}"


class Claims:
    """Claims keys for this host, and for peers on request.

    Args:
        platform: The platform that stores the logs.
        peers: The links to other hosts.
        clock: The clock.
        shards: Number of shards, each with its own log; the same on all hosts.
        retention: Minimum time that a claim stays in force.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        peers: Peers,
        clock: Clock,
        shards: int,
        retention: timedelta,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._writers = [
            ShardWriter(
                shard=number, platform=platform, clock=clock, retention=retention
            )
            for number in range(shards)
        ]
        self._unreachable_until: dict[str, timedelta] = {}
        peers.on(AskClaim, self._answer)

    @property
    def write_count(self) -> int:
        """Number of writes that this host has sent to the platform for claims."""
        return sum(writer.write_count for writer in self._writers)

    async def claim(self, claim: Claim) -> ClaimResult:
        """Claim a key through the shard's preferred writer, or directly without it."""
        shard = self._shard_of(claim.digest)
        preferred = self._preferred_writer(shard)
        if preferred != self._peers.host_id:
            answer = await self._ask_peer(preferred, shard, claim)
            if answer is not None:
                return answer
        return await self._writers[shard].claim(claim)

    def void(self, claim: Claim) -> None:
        """Void a claim whose request was not sent and never will be."""
        self._writers[self._shard_of(claim.digest)].void(claim)

    async def run(self) -> None:
        """Remove claims older than the retention, until cancelled."""
        while True:
            await self._clock.sleep(EXPIRE_INTERVAL)
            for shard, writer in enumerate(self._writers):
                is_preferred = self._preferred_writer(shard) == self._peers.host_id
                await writer.expire(remove=is_preferred)

    async def _ask_peer(
        self, host: str, shard: int, claim: Claim
    ) -> ClaimResult | None:
        message = AskClaim(
            shard=shard,
            digest=claim.digest,
            body_digest=claim.body_digest,
            nonce=claim.nonce,
            holder=claim.holder,
        )
        try:
            answer = await self._peers.ask(host, message, timeout=ASK_TIMEOUT)
        except PeerError as error:
            log_event(
                "claims", "Shard's preferred writer unreachable.", peer=host, why=error
            )
            self._unreachable_until[host] = self._clock.monotonic() + 5 * ASK_TIMEOUT
            return None
        if not isinstance(answer, ClaimAnswer):
            return None
        verdict = ClaimVerdict(answer.verdict)
        if verdict is ClaimVerdict.UNAVAILABLE:
            # The preferred writer may be cut off from the platform while this host
            # is not, so this host appends by itself.
            return None
        return ClaimResult(verdict=verdict, holder=answer.holder)

    async def _answer(self, message: AskClaim) -> ClaimAnswer:
        claim = Claim(
            digest=message.digest,
            body_digest=message.body_digest,
            nonce=message.nonce,
            holder=message.holder,
        )
        result = await self._writers[message.shard % len(self._writers)].claim(claim)
        return ClaimAnswer(verdict=result.verdict.value, holder=result.holder)

    def _shard_of(self, digest: bytes) -> int:
        return int.from_bytes(digest[:4]) % len(self._writers)

    def _preferred_writer(self, shard: int) -> str:
        now = self._clock.monotonic()
        reachable = [
            host
            for host in [self._peers.host_id, *self._peers.ids]
            if self._unreachable_until.get(host, now) <= now
        ]
        return max(reachable, key=lambda host: _rank(host, shard))


def new_claim(
    *, workspace: str, service: str, key: str, body: bytes, holder: str
) -> Claim:
    """Return a new claim of an idempotency key.

    Args:
        workspace: The workspace that the key belongs to.
        service: The called service.
        key: The idempotency key.
        body: The request's body; its digest shows whether a retry is the same request.
        holder: The id of the host that will send the request.
    """
    scope = "\0".join((workspace, service, key)).encode()
    return Claim(
        digest=hashlib.blake2b(scope, digest_size=DIGEST_BYTES).digest(),
        body_digest=hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest(),
        nonce=secrets.token_bytes(NONCE_BYTES),
        holder=holder,
    )


def _rank(host: str, shard: int) -> bytes:
    return hashlib.blake2b(f"{host}/{shard}".encode(), digest_size=8).digest()


def _read_numbered(stored: StoredObject) -> tuple[int, Segment]:
    """Return the number and the content of a segment.

    Raises:
        UnavailableError: The object is no segment. It is not skipped: the claims that
            it may hold are not known.
    """
    try:
        return int(stored.key.rpartition("/")[2]), read_segment(stored.value)
    except ValueError as error:
        raise UnavailableError(str(error), step="decode", peer=stored.key) from error
