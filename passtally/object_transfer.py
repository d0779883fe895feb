"""Hands large objects from host to host, packed and in parts.

A change of the configuration may be as large as the platform's largest value, and
dozens of hosts learn of it at once over links of 10 Mbit/s. So an object is packed,
fetched in parts from any host that holds it, and goes on where it stopped when one does
not answer. Each host hands it to a few at a time; those hand it on.
"""

import random
import zlib
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

import attrs
import msgspec

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.messages import FetchPart, ObjectPart, ObjectRef
from passtally.object_store import Listing, StoredObject
from passtally.peers import PeerError, Peers, UnknownPeerError
from passtally.silent_hosts import SilentHosts

#: Objects whose JSON is longer than this are fetched in parts, in bytes. Entries of
#: endpoints have some 300; a configuration of a dozen routes has 5,000.
LARGE_VALUE = 8 * 1024
#: The quickest level: a configuration of 2,000 routes (527 KB) packs to 40 KB in 4 ms
#: of a core; the slowest level takes 18 ms for 39 KB.
PACK_LEVEL = 1
#: The size of a part in bytes: 13 ms of a link of 10 Mbit/s, so that a caller's stream
#: on the same link hardly waits.
PART_BYTES = 16 * 1024
#: How many hosts are served at once. With one part each under way, a caller's event
#: waits behind 40 ms of a link of 10 Mbit/s at most.
SERVED_AT_ONCE = 3
#: The rate of the thinnest links, in bytes a second (5 Mbit/s). A host that was sent
#: its last part keeps its place for as long as the part takes there. Otherwise all of
#: a domain of 55 are sent an object of one part (12 KB) at once, and a caller's event
#: waits behind them for 337 ms on a link of 10 Mbit/s; so it waits for 33 ms.
THIN_BYTES_PER_SECOND = 625_000
#: A host that has not asked for its next part for this long is no longer served. A part
#: and its question take 40 ms on a link that three share.
SERVED_FOR = timedelta(milliseconds=300)
#: How long a part may take. Each part has its own limit: an object that comes slowly,
#: but comes, is not begun anew. Three parts at once take 80 ms of a link of 5 Mbit/s,
#: and other traffic delays them by 180 ms.
PART_TIMEOUT = timedelta(milliseconds=500)
#: How long a host waits, at most, before it asks again where all were busy.
BUSY_PAUSE = timedelta(milliseconds=80)
#: Packed states that are kept of one object: one that is being handed on while the next
#: changes come can still be completed.
KEPT_STATES = 3


class TransferError(Exception):
    """No host hands on an object any more.

    Args:
        ref: The object.
        received: The bytes that have come; the next try goes on after them.
    """

    def __init__(self, ref: ObjectRef, *, received: int) -> None:
        self.ref = ref
        self.received = received
        super().__init__(
            f"nobody hands on {ref.key} at {ref.version}, {received} bytes have come"
        )


def pack(data: bytes) -> bytes:
    """Return bytes in their packed form."""
    return zlib.compress(data, PACK_LEVEL)


def unpack(packed: bytes) -> bytes:
    """Return the bytes of a packed form.

    Raises:
        ValueError: It is none.
    """
    try:
        return zlib.decompress(packed)
    except zlib.error as error:
        raise ValueError(str(error)) from error


def split_large(
    objects: Collection[StoredObject],
) -> tuple[list[StoredObject], list[ObjectRef]]:
    """Return the objects that are sent along, and what names the large ones."""
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
    """Return a listing in its packed form; see :class:`Listing` for the arguments."""
    listing = Listing(version=version, objects=tuple(objects), keys=keys)
    return pack(msgspec.json.encode(listing))


def unpack_listing(packed: bytes) -> Listing:
    """Return a listing from its packed form.

    Raises:
        ValueError: It can't be read.
    """
    return msgspec.json.decode(unpack(packed), type=Listing)


class ObjectTransfer:
    """Fetches large objects from other hosts, and hands them on.

    Args:
        host_id: This host's name.
        peers: The links.
        clock: The clock.
        rng: Where the choice of a host comes from.
        silent: Hosts that did not answer; they are asked only where no other holds
            the object.
        find: Returns an object by its key as this host knows it, or None.
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
        """Fetch an object, from one host after the other.

        Args:
            ref: The object.
            holders: Returns the hosts that are known to hold it, at any moment.

        Raises:
            TransferError: None of them handed it on.
            ValueError: What came is not an object.
        """
        received = self._parts_by_ref.setdefault(ref, bytearray())
        useless: set[str] = set()
        host_id = ""
        while True:
            candidates = sorted(set(holders()) - useless)
            if not candidates:
                raise TransferError(ref, received=len(received))
            if host_id not in candidates:
                host_id = self._choose(candidates)
            part = await self._ask(host_id, ref, len(received))
            if part is None:
                # Others that hold this state may be gone too, and half a second is
                # waited for each, while hosts that answer have a newer one.
                raise TransferError(ref, received=len(received))
            if not part.size:
                useless.add(host_id)
            elif not part.data:
                host_id = ""
                await self._clock.sleep(self._rng.uniform(0.3, 1) * BUSY_PAUSE)
            else:
                received += part.data
                if len(received) >= part.size:
                    return self._complete(ref, bytes(received))

    def _choose(self, candidates: Sequence[str]) -> str:
        now = self._clock.monotonic()
        heard = [name for name in candidates if not self._silent.is_silent(name, now)]
        return self._rng.choice(heard or candidates)

    def _complete(self, ref: ObjectRef, packed: bytes) -> StoredObject:
        self._parts_by_ref.pop(ref, None)
        value = unpack(packed)
        self._keep(ref, packed)
        return StoredObject(key=ref.key, version=ref.version, value=msgspec.Raw(value))

    async def _ask(
        self, host_id: str, ref: ObjectRef, offset: int
    ) -> ObjectPart | None:
        """Ask for one part; None where no answer came."""
        message = FetchPart(host_id=self.host_id, ref=ref, offset=offset)
        try:
            reply = await self._peers.ask(host_id, message, timeout=PART_TIMEOUT)
        except PeerError as error:
            if not isinstance(error, UnknownPeerError):
                self._silent.note(host_id, self._clock.monotonic())
            log_event(
                "transfer",
                "No part came.",
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
            takes = SERVED_AT_ONCE * len(data) / THIN_BYTES_PER_SECOND
            self._served.leave(message.host_id, now + timedelta(seconds=takes))
        return ObjectPart(size=len(packed), data=data)

    def _pack(self, ref: ObjectRef) -> bytes | None:
        """Return the packed object; None where this host does not hold it."""
        packed = self._packed_by_ref.get(ref)
        if packed is None:
            stored = self._find(ref.key)
            if stored is None or stored.version != ref.version:
                return None
            packed = pack(bytes(stored.value))
            self._keep(ref, packed)
        return packed

    def _keep(self, ref: ObjectRef, packed: bytes) -> None:
        """Keep a packed state, and of its object no more than the newest few."""
        self._packed_by_ref[ref] = packed
        for refs in (self._packed_by_ref, self._parts_by_ref):
            known = sorted(
                (other for other in refs if other.key == ref.key),
                key=lambda other: other.version,
            )
            for old in known[:-KEPT_STATES]:
                del refs[old]


@attrs.define(kw_only=True)
class AnswerPace:
    """How fast a host answers with many small objects at once. Pure.

    Hundreds of endpoints that come back together are 30 KB for each of 55 hosts. All
    answered at once, a caller's event waits behind them for 850 ms on a link of 10
    Mbit/s. Who is turned down asks again, and whoever has been answered answers others.
    """

    _free_at: timedelta = timedelta(0)

    def admit(self, size: int, now: timedelta) -> bool:
        """Return whether an answer is sent now; one of a single part always is.

        Args:
            size: Its size in bytes.
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
    """The hosts that an object is being handed to. Pure."""

    _until_by_host: dict[str, timedelta] = attrs.field(factory=dict)

    def admit(self, host_id: str, now: timedelta) -> bool:
        """Return whether a host's question is answered with a part now.

        Args:
            host_id: Who asks.
            now: The monotonic time.
        """
        for name, until in list(self._until_by_host.items()):
            if until <= now:
                del self._until_by_host[name]
        is_served = host_id in self._until_by_host
        if not is_served and len(self._until_by_host) >= SERVED_AT_ONCE:
            return False
        self._until_by_host[host_id] = now + SERVED_FOR
        return True

    def leave(self, host_id: str, at: timedelta = timedelta(0)) -> None:
        """Take in that a host is sent the last of what it asked for.

        Args:
            host_id: The host.
            at: When that will have come, on the monotonic clock.
        """
        self._until_by_host[host_id] = at


def _is_large(stored: StoredObject) -> bool:
    return len(bytes(stored.value)) > LARGE_VALUE
