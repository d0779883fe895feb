"""Transfers large objects between hosts, compressed and in parts.

A configuration change may be as large as the platform's largest value, and dozens of
hosts need it at once over links of 10 Mbit/s. So an object is compressed and fetched in
parts from any host that holds it; a transfer that stopped resumes at the same offset,
also from another host. Each host serves a few hosts at a time, and these serve others
in turn.
"""

import random
import zlib
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

import attrs
import msgspec

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.json_decoding import decode_json
from passtally.messages import FetchPart, ObjectPart, ObjectRef
from passtally.object_store import Listing, StoredObject
from passtally.peers import PeerError, Peers, UnknownPeerError
from passtally.silent_hosts import SilentHosts

#: JSON size in bytes above which an object is fetched in parts. An endpoint's entry has
#: about 300 bytes, a configuration of a dozen routes 5,000.
LARGE_VALUE = 8 * 1024
#: The fastest zlib level. It compresses a configuration of 2,000 routes (527 KB) to
#: 40 KB in 4 ms of CPU time; the slowest level takes 18 ms for 39 KB.
PACK_LEVEL = 1
#: Size of a part in bytes. It occupies a 10 Mbit/s link for 13 ms, so that callers'
#: streams on the same link are hardly delayed.
PART_BYTES = 16 * 1024
#: Maximum number of hosts served at once. With one part in flight to each of three, a
#: caller's event waits at most 40 ms on a 10 Mbit/s link.
MAX_SERVED_HOSTS = 3
#: Rate of the slowest links in bytes per second (5 Mbit/s). After its last part, a host
#: keeps its serving slot for the time that the part takes at this rate, shared by
#: MAX_SERVED_HOSTS. Without that, all 55 hosts of a failure domain are sent a one-part
#: object (12 KB) at once, and a caller's event waits 337 ms on a 10 Mbit/s link instead
#: of 33 ms.
THIN_BYTES_PER_SECOND = 625_000
#: Time without a request for the next part after which a host loses its serving slot.
#: A request and its part take 40 ms on a link shared by three hosts.
SERVE_TIMEOUT = timedelta(milliseconds=300)
#: Timeout of one part. It applies to each part rather than to the whole object, so that
#: a slow transfer that makes progress is not restarted. Three parts at once take 80 ms
#: on a 5 Mbit/s link, and other traffic delays them by 180 ms.
PART_TIMEOUT = timedelta(milliseconds=500)
#: Maximum random delay before the next request after the asked host had no free slot.
MAX_BUSY_DELAY = timedelta(milliseconds=80)
#: Number of compressed versions kept per object. Older ones are kept so that transfers
#: in progress can complete while newer changes arrive.
MAX_PACKED_VERSIONS = 3


class TransferError(Exception):
    """A transfer stopped before the object was complete.

    Args:
        ref: The object and its version.
        received: Number of bytes received; the next attempt resumes after them.
    """

    def __init__(self, ref: ObjectRef, *, received: int) -> None:
        self.ref = ref
        self.received = received
        super().__init__(
            f"transfer of {ref.key} at version {ref.version}"
            f" stopped after {received} bytes"
        )


def pack(data: bytes) -> bytes:
    """Return data compressed with zlib."""
    return zlib.compress(data, PACK_LEVEL)


def unpack(packed: bytes) -> bytes:
    """Return the decompressed data.

    Raises:
        ValueError: The bytes are not a complete zlib stream.
    """
    try:
        return zlib.decompress(packed)
    except zlib.error as error:
        raise ValueError(str(error)) from error


def split_large(
    objects: Collection[StoredObject],
) -> tuple[list[StoredObject], list[ObjectRef]]:
    """Return the objects small enough to send inline, and references to the others."""
    small = [stored for stored in objects if not _is_large(stored)]
    large = [
        ObjectRef(key=stored.key, version=stored.version)
        for stored in objects
        if _is_large(stored)
    ]
    return small, large


def pack_listing(
    version: int,
    objects: Sequence[StoredObject],
    *,
    keys: tuple[str, ...] | None = None,
) -> bytes:
    """Return a compressed listing; see :class:`Listing` for the arguments."""
    listing = Listing(version=version, objects=tuple(objects), keys=keys)
    return pack(msgspec.json.encode(listing))


def unpack_listing(packed: bytes) -> Listing:
    """Return the listing that :func:`pack_listing` compressed.

    Raises:
        ValueError: The bytes cannot be decompressed or decoded.
    """
    return decode_json(unpack(packed), Listing)


class ObjectTransfer:
    """Fetches large objects from other hosts, and serves them to other hosts.

    Args:
        host_id: This host's id.
        peers: The links to other hosts.
        clock: The clock.
        rng: Random generator for the choice of a host and for delays.
        silent: Hosts that recently did not answer; they are asked only when no other
            host holds the object.
        find: Returns this host's current state of an object by key, or None.
    """

    def __init__(
        self,
        *,
        host_id: str,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        silent: SilentHosts,
        find: Callable[[str], StoredObject | None],
    ) -> None:
        self.host_id = host_id
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._silent = silent
        self._find = find
        self._packed_by_ref: dict[ObjectRef, bytes] = {}
        self._parts_by_ref: dict[ObjectRef, bytearray] = {}
        self._served = ServedHosts()
        peers.on(FetchPart, self._answer)

    async def fetch(
        self, ref: ObjectRef, holders: Callable[[], Collection[str]]
    ) -> StoredObject:
        """Fetch an object part by part, switching hosts when one cannot serve it.

        Args:
            ref: The object and its version.
            holders: Returns the hosts currently known to hold this version.

        Raises:
            TransferError: A host did not answer, or no holder is left to ask.
            ValueError: The received bytes cannot be decompressed.
        """
        received = self._parts_by_ref.setdefault(ref, bytearray())
        not_holding: set[str] = set()
        host_id = ""
        while True:
            candidates = sorted(set(holders()) - not_holding)
            if not candidates:
                raise TransferError(ref, received=len(received))
            if host_id not in candidates:
                host_id = self._choose(candidates)
            part = await self._fetch_part(host_id, ref, len(received))
            if part is None:
                # Other holders of this version may be unreachable too, each at the cost
                # of a half-second timeout, while reachable hosts have a newer version.
                raise TransferError(ref, received=len(received))
            if not part.size:
                not_holding.add(host_id)
            elif not part.data:
                host_id = ""
                await self._clock.sleep(self._rng.uniform(0.3, 1) * MAX_BUSY_DELAY)
            else:
                received += part.data
                if len(received) >= part.size:
                    return self._complete(ref, bytes(received))

    def _choose(self, candidates: Sequence[str]) -> str:
        now = self._clock.monotonic()
        responsive = [
            name for name in candidates if not self._silent.is_silent(name, now)
        ]
        return self._rng.choice(responsive or candidates)

    def _complete(self, ref: ObjectRef, packed: bytes) -> StoredObject:
        self._parts_by_ref.pop(ref, None)
        value = unpack(packed)
        self._keep(ref, packed)
        return StoredObject(key=ref.key, version=ref.version, value=msgspec.Raw(value))

    async def _fetch_part(
        self, host_id: str, ref: ObjectRef, offset: int
    ) -> ObjectPart | None:
        """Request one part; return None if no answer came."""
        message = FetchPart(host_id=self.host_id, ref=ref, offset=offset)
        try:
            reply = await self._peers.ask(host_id, message, timeout=PART_TIMEOUT)
        except PeerError as error:
            if not isinstance(error, UnknownPeerError):
                self._silent.record_silence(host_id, self._clock.monotonic())
            log_event(
                "transfer",
                "No part received.",
                peer=host_id,
                key=ref.key,
                version=ref.version,
                offset=offset,
                why=error,
            )
            return None
        return reply if isinstance(reply, ObjectPart) else None

    async def _answer(self, message: FetchPart) -> ObjectPart:
        packed = self._pack(message.ref)
        if packed is None:
            return ObjectPart(size=0)
        now = self._clock.monotonic()
        if not self._served.admit(message.host_id, now):
            return ObjectPart(size=len(packed))
        end = message.offset + PART_BYTES
        data = packed[message.offset : end]
        if end >= len(packed):
            duration_s = MAX_SERVED_HOSTS * len(data) / THIN_BYTES_PER_SECOND
            self._served.release(message.host_id, now + timedelta(seconds=duration_s))
        return ObjectPart(size=len(packed), data=data)

    def _pack(self, ref: ObjectRef) -> bytes | None:
        """Return the compressed object, or None if this host lacks this version."""
        packed = self._packed_by_ref.get(ref)
        if packed is None:
            stored = self._find(ref.key)
            if stored is None or stored.version != ref.version:
                return None
            packed = pack(bytes(stored.value))
            self._keep(ref, packed)
        return packed

    def _keep(self, ref: ObjectRef, packed: bytes) -> None:
        """Store a compressed version; drop the object's oldest versions and parts."""
        self._packed_by_ref[ref] = packed
        for refs in (self._packed_by_ref, self._parts_by_ref):
            known = sorted(
                (other for other in refs if other.key == ref.key),
                key=lambda other: other.version,
            )
            for old in known[:-MAX_PACKED_VERSIONS]:
                del refs[old]


@attrs.define(kw_only=True)
class AnswerRateLimit:
    """Rate limit for answers that carry many small objects. Pure.

    When hundreds of endpoints recover together, their entries are 30 KB for each of 55
    hosts. Answering all hosts at once delays a caller's event by 850 ms on a
    10 Mbit/s link. A rejected host asks again, and hosts that have been answered serve
    others.
    """

    _free_at: timedelta = timedelta(0)

    def admit(self, size: int, now: timedelta) -> bool:
        """Return whether an answer may be sent now, and reserve the link for it.

        An answer no larger than one part is always admitted and reserves nothing.

        Args:
            size: Size of the answer in bytes.
            now: The monotonic time.
        """
        if size <= PART_BYTES:
            return True
        if now < self._free_at:
            return False
        self._free_at = now + timedelta(seconds=size / THIN_BYTES_PER_SECOND)
        return True


@attrs.define(kw_only=True)
class ServedHosts:
    """The hosts that hold a serving slot. Pure."""

    _until_by_host: dict[str, timedelta] = attrs.field(factory=dict)

    def admit(self, host_id: str, now: timedelta) -> bool:
        """Return whether a host has a serving slot, assigning a free one if needed.

        Args:
            host_id: The requesting host.
            now: The monotonic time.
        """
        for name, until in list(self._until_by_host.items()):
            if until <= now:
                del self._until_by_host[name]
        is_served = host_id in self._until_by_host
        if not is_served and len(self._until_by_host) >= MAX_SERVED_HOSTS:
            return False
        self._until_by_host[host_id] = now + SERVE_TIMEOUT
        return True

    def release(self, host_id: str, at: timedelta = timedelta(0)) -> None:
        """Free a host's serving slot once its last part has arrived.

        Args:
            host_id: The host.
            at: The monotonic time at which the last part will have arrived.
        """
        self._until_by_host[host_id] = at


def _is_large(stored: StoredObject) -> bool:
    return len(bytes(stored.value)) > LARGE_VALUE
