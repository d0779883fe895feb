"""Copies running answers to a peer, so that they survive the loss of host and engine.

A caller's resume handle carries the token ids that the copy may still lack, so that
output never waits for the copy. Copies are sent asynchronously, a few times a second,
in one message per peer for all streams.
"""

import asyncio
import hashlib
import secrets
from array import array
from collections import OrderedDict
from collections.abc import Collection, Sequence
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.generation import Generation
from passtally.messages import CopiedRun, CopiesHeld, CopyFound, FetchCopy, StoreCopies
from passtally.peers import PeerError, Peers

#: Interval between two sends of new tokens to peers.
FLUSH_INTERVAL = timedelta(milliseconds=250)
#: Maximum length of a handle's tail, in tokens. A longer one means that the copy lags,
#: and is left out of the handle.
MAX_TAIL = 256
#: Time until a copy expires after its last update.
COPY_TTL = timedelta(minutes=2)
MAX_STORED_TOKENS = 8_000_000
#: Time for which no copies are assigned to a peer that did not reply.
PEER_AVOID_TIME = timedelta(seconds=5)


@attrs.define(kw_only=True)
class _StoredCopy:
    token_ids: array
    expires_at: timedelta


class CopyStore:
    """Stores copies of peers' running answers in memory.

    Args:
        clock: The clock.
        max_tokens: Maximum number of token ids in all copies together. Above it, the
            least recently updated copies are evicted.
    """

    def __init__(self, *, clock: Clock, max_tokens: int = MAX_STORED_TOKENS) -> None:
        self.token_count = 0
        self._clock = clock
        self._max_tokens = max_tokens
        self._copies_by_id: OrderedDict[str, _StoredCopy] = OrderedDict()

    def store(self, copy_id: str, start: int, token_ids: Sequence[int]) -> int:
        """Append consecutive token ids to a copy, without those that it has already.

        Args:
            copy_id: Id of the copy, which is created if unknown.
            start: Position of the first token id in the answer.
            token_ids: The token ids.

        Returns:
            The length of the copy in tokens. If ``start`` is beyond it, nothing is
            stored, and the sender sends again from there.
        """
        now = self._clock.monotonic()
        stored = self._copies_by_id.get(copy_id)
        if stored is None:
            stored = _StoredCopy(token_ids=array("I"), expires_at=now)
            self._copies_by_id[copy_id] = stored
        held = len(stored.token_ids)
        if start <= held:
            new = token_ids[held - start :]
            stored.token_ids.extend(new)
            self.token_count += len(new)
        stored.expires_at = now + COPY_TTL
        self._copies_by_id.move_to_end(copy_id)
        self._evict(now)
        return len(stored.token_ids)

    def fetch(self, copy_id: str) -> array:
        """Return the stored token ids of a copy; empty if the copy is unknown."""
        stored = self._copies_by_id.get(copy_id)
        return stored.token_ids if stored else array("I")

    def _evict(self, now: timedelta) -> None:
        while self._copies_by_id:
            oldest = next(iter(self._copies_by_id.values()))
            if oldest.expires_at > now and self.token_count <= self._max_tokens:
                return
            _, dropped = self._copies_by_id.popitem(last=False)
            self.token_count -= len(dropped.token_ids)


@attrs.define(kw_only=True, eq=False)
class CopiedStream:
    """A running answer and the progress of its copy at the peer.

    The copy's id is not the generation's: a host that was paused while another host
    resumed the answer must never append its tokens to the other's copy.

    Attributes:
        generation: The answer.
        copy_id: The random id of this host's copy of the answer.
        peer: The peer that stores the copy, or empty while there is none.
        copied: Number of tokens that the peer has acknowledged.
    """

    generation: Generation
    copy_id: str = attrs.field(factory=lambda: secrets.token_hex(8))
    peer: str = ""
    copied: int = 0

    def tail_start(self, position: int) -> int | None:
        """Return the start of the tail in a handle, or None if it would be too long.

        Args:
            position: The position that the handle resumes at; the tail ends there.
        """
        start = min(self.copied, position)
        return start if position - start <= MAX_TAIL else None


def choose_copy_host(
    generation_id: str,
    *,
    own_domain: str,
    domains_by_host: dict[str, str],
    avoided: Collection[str] = (),
) -> str:
    """Choose the peer that stores a copy, in another failure domain if possible.

    Args:
        generation_id: Id of the generation, which spreads copies over the peers.
        own_domain: The failure domain of this host.
        domains_by_host: The peers' failure domains by host; empty if unknown.
        avoided: Peers that recently failed to reply.

    Returns:
        The peer's name, or empty if there is none.
    """
    usable = [host for host in domains_by_host if host not in avoided]
    if not usable:
        return ""
    return min(
        usable,
        key=lambda host: (
            domains_by_host[host] == own_domain,
            hashlib.blake2b(f"{generation_id}/{host}".encode(), digest_size=8).digest(),
        ),
    )


class CopySender:
    """Sends copies of this host's running answers to peers.

    Args:
        peers: The connections to other hosts.
        clock: The clock.
        failure_domain: The failure domain of this host.
        domains_by_host: The peers' failure domains by host.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        failure_domain: str,
        domains_by_host: dict[str, str],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._failure_domain = failure_domain
        self._domains_by_host = domains_by_host
        self._streams: set[CopiedStream] = set()
        self._avoided_until: dict[str, timedelta] = {}

    def open(self, generation: Generation) -> CopiedStream:
        """Choose a peer for a running answer and start to copy it there."""
        stream = CopiedStream(generation=generation)
        self._assign(stream)
        self._streams.add(stream)
        return stream

    def close(self, stream: CopiedStream) -> None:
        """Stop copying an answer; the peer's copy expires later."""
        self._streams.discard(stream)

    async def run(self) -> None:
        """Send new tokens every ``FLUSH_INTERVAL`` until cancelled."""
        while True:
            await self._clock.sleep(FLUSH_INTERVAL)
            await self.flush()

    async def flush(self) -> None:
        """Send new tokens to each peer and wait for the replies.

        The copies of a peer that does not reply start again at another peer.
        """
        streams_by_peer: dict[str, list[CopiedStream]] = {}
        for stream in self._streams:
            if not stream.peer:
                self._assign(stream)
            if stream.peer and stream.copied < stream.generation.position:
                streams_by_peer.setdefault(stream.peer, []).append(stream)
        sends = (self._send(peer, items) for peer, items in streams_by_peer.items())
        await asyncio.gather(*sends)

    async def _send(self, peer: str, streams: list[CopiedStream]) -> None:
        try:
            held = await self._peers.ask(
                peer, StoreCopies(runs=[_run_of(stream) for stream in streams])
            )
        except PeerError as error:
            log_event("copies", "Peer did not answer.", peer=peer, why=error)
            self._avoided_until[peer] = self._clock.monotonic() + PEER_AVOID_TIME
            for stream in streams:
                stream.peer, stream.copied = "", 0
            return
        if isinstance(held, CopiesHeld):
            for stream in streams:
                count = held.counts_by_id.get(stream.copy_id, 0)
                stream.copied = min(count, stream.generation.position)

    def _assign(self, stream: CopiedStream) -> None:
        now = self._clock.monotonic()
        avoided = [host for host, until in self._avoided_until.items() if until > now]
        stream.peer = choose_copy_host(
            stream.generation.request.id,
            own_domain=self._failure_domain,
            domains_by_host=self._domains_by_host,
            avoided=avoided,
        )
        stream.copied = 0


class CopyService:
    """Serves this host's copies to peers, and fetches copies for answers resumed here.

    Args:
        copy_store: The copies stored on this host.
        peers: The connections to other hosts.
    """

    def __init__(self, *, copy_store: CopyStore, peers: Peers) -> None:
        self._copy_store = copy_store
        self._peers = peers
        peers.on(StoreCopies, self._store)
        peers.on(FetchCopy, self._fetch)

    async def recover(
        self, host_id: str, copy_id: str, tail_start: int, tail: Sequence[int]
    ) -> array | None:
        """Return all token ids that a caller has received, or None if some are lost.

        Args:
            host_id: The host that stores the copy; may be this host.
            copy_id: Id of the copy.
            tail_start: Position of the tail's first token.
            tail: The token ids in the caller's handle.
        """
        copy = await self._find(host_id, copy_id) if tail_start else array("I")
        if len(copy) < tail_start:
            return None
        return copy[:tail_start] + array("I", tail)

    async def _find(self, host_id: str, copy_id: str) -> array:
        if host_id == self._peers.host_id:
            return self._copy_store.fetch(copy_id)
        try:
            found = await self._peers.ask(host_id, FetchCopy(copy_id))
        except PeerError as error:
            log_event("copies", "Copy could not be fetched.", peer=host_id, why=error)
            return array("I")
        if not isinstance(found, CopyFound):
            return array("I")
        return _to_array(found.token_ids)

    async def _store(self, message: StoreCopies) -> CopiesHeld:
        counts_by_id = {
            run.copy_id: self._copy_store.store(
                run.copy_id, run.start, _to_array(run.token_ids)
            )
            for run in message.runs
        }
        return CopiesHeld(counts_by_id=counts_by_id)

    async def _fetch(self, message: FetchCopy) -> CopyFound:
        return CopyFound(self._copy_store.fetch(message.copy_id).tobytes())


def _run_of(stream: CopiedStream) -> CopiedRun:
    return CopiedRun(
        copy_id=stream.copy_id,
        start=stream.copied,
        token_ids=stream.generation.token_ids[stream.copied :].tobytes(),
    )


def _to_array(data: bytes) -> array:
    return array("I", data)
