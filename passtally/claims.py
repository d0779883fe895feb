"""Claims idempotency keys in the platform, many in one write.

The shard's first host by rank appends for all, so that one write carries many
claims; that is only a hint. A host that can't reach it appends by itself, and
the conditional create decides.
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
#: Shards times this bounds the writes per second, however many hosts there are.
MIN_WRITE_INTERVAL = timedelta(milliseconds=50)
MAX_BATCH = 2000
APPEND_TRIES = 8
APPEND_PATIENCE = timedelta(seconds=2)
RETRY_PAUSE = timedelta(milliseconds=100)
ASK_TIMEOUT = timedelta(seconds=1)
VOID_PAUSE = timedelta(seconds=1)
EXPIRE_INTERVAL = timedelta(seconds=30)


@attrs.frozen(kw_only=True)
class ClaimResult:
    """How a claim ended, and which host holds the key now."""

    verdict: ClaimVerdict
    holder: str


@attrs.define(kw_only=True, eq=False)
class _Pending:
    claim: Claim
    result: "asyncio.Future[ClaimResult]"


class ShardWriter:
    """Appends to one shard's log, one write at a time.

    Args:
        shard: Its number.
        platform: Where the log is.
        clock: The clock.
        retention: How long a claim stays in force at least.
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
        """Claim a key; answered once the log has decided, or can't."""
        future = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(claim=claim, result=future))
        self._wake()
        return await future

    def void(self, claim: Claim) -> None:
        """Give a claim back whose request was not sent and never will be."""
        self._voids.append(Void(digest=claim.digest, nonce=claim.nonce))
        self._wake()

    async def expire(self, *, remove: bool) -> None:
        """Forget old claims.

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
                # A segment that stays is harmless: a later host removes it.
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
                await self._clock.sleep(VOID_PAUSE)
            else:
                await self._clock.sleep(MIN_WRITE_INTERVAL)

    async def _append(self, batch: list[_Pending], voids: list[Void]) -> bool:
        """Append until each claim of the batch is decided; False if that fails."""
        deadline = self._clock.monotonic() + APPEND_PATIENCE
        nonce = secrets.token_bytes(NONCE_BYTES)
        try:
            for _ in range(APPEND_TRIES):
                await self._sync()
                open_items = self._settle(batch)
                if not open_items and not voids:
                    return True
                segment = Segment(
                    nonce=nonce,
                    claims=tuple(item.claim for item in open_items),
                    voids=tuple(voids),
                )
                if await self._try_create(segment, deadline):
                    self._settle(batch)
                    return True
        except PlatformError as error:
            log_event("claims", "Platform out of reach.", why=error)
        finally:
            self._fail_rest(batch)
        return False

    async def _try_create(self, segment: Segment, deadline: timedelta) -> bool:
        """Create the next segment; False where another one stands there.

        A lost answer is settled by reading back: the nonce tells whose it is.
        """
        number = self.log.next_number
        while True:
            asked_at = self._clock.monotonic()
            try:
                self.write_count += 1
                await self._platform.create(self._key(number), segment.to_json())
                break
            except ConflictError:
                return await self._read_back(number, segment)
            except (UnavailableError, ThrottledError):
                if self._clock.monotonic() >= deadline:
                    raise
                await self._clock.sleep(RETRY_PAUSE)
        now = self._clock.monotonic()
        if not self.log.is_fresh(now) or now - asked_at > APPEND_PATIENCE * 10:
            raise UnavailableError("slept during the write", step="create", peer="")
        self.log.apply(number, segment, now)
        return True

    async def _read_back(self, number: int, segment: Segment) -> bool:
        stored = await self._platform.get(self._key(number))
        if stored is None:
            self.log.synced_at = None
            return False
        found = read_segment(bytes(stored.value))
        self.log.apply(number, found, self._clock.monotonic())
        return found.nonce == segment.nonce

    async def _sync(self) -> None:
        if self.log.is_fresh(self._clock.monotonic()):
            return
        asked_at = self._clock.monotonic()
        listing = await self._platform.list_objects(self._prefix)
        segments = [_numbered(stored) for stored in listing.objects]
        self.log.reset(segments, asked_at)

    def _settle(self, batch: Sequence[_Pending]) -> list[_Pending]:
        """Answer what the log has decided; return the rest, one for each key."""
        still_open: dict[bytes, _Pending] = {}
        for item in batch:
            if item.result.done():
                continue
            verdict = self.log.judge(item.claim)
            if verdict is None:
                still_open.setdefault(item.claim.digest, item)
                continue
            holder = self.log.holder(item.claim.digest)
            item.result.set_result(ClaimResult(verdict=verdict, holder=holder))
        return list(still_open.values())

    def _fail_rest(self, batch: Sequence[_Pending]) -> None:
        failed = ClaimResult(verdict=ClaimVerdict.UNAVAILABLE, holder="")
        for item in batch:
            if not item.result.done():
                item.result.set_result(failed)

    def _key(self, number: int) -> str:
        return f"{self._prefix}{number:012d}"


class Claims:
    """Claims keys for this host, and for peers that ask.

    Args:
        platform: Where the logs are.
        peers: The links.
        clock: The clock.
        shards: How many logs there are; the same on all hosts.
        retention: How long a claim stays in force at least.
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
        self._away_until: dict[str, timedelta] = {}
        peers.on(AskClaim, self._answer)

    @property
    def write_count(self) -> int:
        """How many writes this host has sent to the platform for claims."""
        return sum(writer.write_count for writer in self._writers)

    async def claim(self, claim: Claim) -> ClaimResult:
        """Claim a key, through the shard's first host where it can be reached."""
        shard = self._shard_of(claim.digest)
        first = self._first_host(shard)
        if first != self._peers.host_id:
            answer = await self._ask(first, shard, claim)
            if answer is not None:
                return answer
        return await self._writers[shard].claim(claim)

    def void(self, claim: Claim) -> None:
        """Give a claim back whose request was not sent and never will be."""
        self._writers[self._shard_of(claim.digest)].void(claim)

    async def run(self) -> None:
        """Remove what is past its retention, for ever."""
        while True:
            await self._clock.sleep(EXPIRE_INTERVAL)
            for shard, writer in enumerate(self._writers):
                is_first = self._first_host(shard) == self._peers.host_id
                await writer.expire(remove=is_first)

    async def _ask(self, host: str, shard: int, claim: Claim) -> ClaimResult | None:
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
            log_event("claims", "Shard's first host away.", peer=host, why=error)
            self._away_until[host] = self._clock.monotonic() + 5 * ASK_TIMEOUT
            return None
        if not isinstance(answer, ClaimAnswer):
            return None
        verdict = ClaimVerdict(answer.verdict)
        if verdict is ClaimVerdict.UNAVAILABLE:
            # It may be cut off from the platform where this host is not.
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

    def _first_host(self, shard: int) -> str:
        now = self._clock.monotonic()
        near = [
            host
            for host in [self._peers.host_id, *self._peers.ids]
            if self._away_until.get(host, now) <= now
        ]
        return max(near, key=lambda host: _rank(host, shard))


def new_claim(
    *, workspace: str, service: str, key: str, body: bytes, holder: str
) -> Claim:
    """Return a new claim of an idempotency key.

    Args:
        workspace: Whose key it is.
        service: The service that is called.
        key: The key.
        body: What tells whether a retry is the same request.
        holder: The host that will send it.
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


def _numbered(stored: StoredObject) -> tuple[int, Segment]:
    return int(stored.key.rpartition("/")[2]), read_segment(bytes(stored.value))
