"""Copies of running answers at one peer, so that both host and engine may die.

A caller's resume handle carries the token ids that the copy may still lack, so
nothing has to wait for the copy: it is sent a few times a second, for all
streams to a peer in one message.
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

FLUSH_INTERVAL = timedelta(milliseconds=250)
#: A tail longer than this is left out of handles: the copy has fallen behind.
MAX_TAIL = 256
KEEP = timedelta(minutes=2)
MAX_TOKENS_KEPT = 8_000_000
PEER_PENALTY = timedelta(seconds=5)


@attrs.define(kw_only=True)
class _Kept:
    token_ids: array
    until: timedelta


class CopyStore:
    """The copies that this host keeps for its peers.

    Args:
        clock: The clock.
        max_tokens: How many token ids are kept in all; the copies that were
            longest without news go first.
    """

    def __init__(self, *, clock: Clock, max_tokens: int = MAX_TOKENS_KEPT) -> None:
        self.token_count = 0
        self._clock = clock
        self._max_tokens = max_tokens
        self._kept_by_id: OrderedDict[str, _Kept] = OrderedDict()

    def store(self, copy_id: str, start: int, token_ids: Sequence[int]) -> int:
        """Keep one run of token ids.

        Returns:
            How many of its tokens are now held, from its start. A run
            that leaves a gap is not kept; the sender sends from there again.
        """
        now = self._clock.monotonic()
        kept = self._kept_by_id.get(copy_id)
        if kept is None:
            kept = _Kept(token_ids=array("I"), until=now)
            self._kept_by_id[copy_id] = kept
        held = len(kept.token_ids)
        if start <= held:
            new = token_ids[held - start :]
            kept.token_ids.extend(new)
            self.token_count += len(new)
        kept.until = now + KEEP
        self._kept_by_id.move_to_end(copy_id)
        self._forget(now)
        return len(kept.token_ids)

    def fetch(self, copy_id: str) -> array:
        """Return the token ids held of a copy; none where none are."""
        kept = self._kept_by_id.get(copy_id)
        return kept.token_ids if kept else array("I")

    def _forget(self, now: timedelta) -> None:
        while self._kept_by_id:
            oldest = next(iter(self._kept_by_id.values()))
            if oldest.until > now and self.token_count <= self._max_tokens:
                return
            _, dropped = self._kept_by_id.popitem(last=False)
            self.token_count -= len(dropped.token_ids)


@attrs.define(kw_only=True, eq=False)
class CopiedStream:
    """One running answer and how much of it the peer holds.

    The copy has an id of its own: a host that was paused while another took the
    answer up must never add its tokens to the other's copy.

    Attributes:
        generation: The answer.
        copy_id: The copy's id.
        peer: The peer that keeps its copy, or empty while there is none.
        copied: How many tokens that peer holds.
    """

    generation: Generation
    copy_id: str = attrs.field(factory=lambda: secrets.token_hex(8))
    peer: str = ""
    copied: int = 0

    def tail_start(self, position: int) -> int | None:
        """Return where a handle's tail starts, or None if it would be too long."""
        start = min(self.copied, position)
        return start if position - start <= MAX_TAIL else None


def choose_copy_host(
    generation_id: str,
    *,
    own_domain: str,
    domains_by_host: dict[str, str],
    avoid: Collection[str] = (),
) -> str:
    """Choose the peer that keeps a copy, in another failure domain if there is one.

    Args:
        generation_id: The generation.
        own_domain: This host's failure domain.
        domains_by_host: The peers' failure domains; empty where unknown.
        avoid: Peers that did not answer lately.

    Returns:
        The peer's name, or empty where there is none.
    """
    usable = [host for host in domains_by_host if host not in avoid]
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
    """Sends the copies of this host's running answers.

    Args:
        peers: The links.
        clock: The clock.
        failure_domain: This host's own.
        domains_by_host: The peers' failure domains.
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
        """Start copying an answer."""
        stream = CopiedStream(generation=generation)
        self._assign(stream)
        self._streams.add(stream)
        return stream

    def close(self, stream: CopiedStream) -> None:
        """Stop copying an answer."""
        self._streams.discard(stream)

    async def run(self) -> None:
        """Send what is new, a few times a second, for ever."""
        while True:
            await self._clock.sleep(FLUSH_INTERVAL)
            await self.flush()

    async def flush(self) -> None:
        """Send what is new to each peer, and wait for the answers."""
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
            self._avoided_until[peer] = self._clock.monotonic() + PEER_PENALTY
            for stream in streams:
                stream.peer, stream.copied = "", 0
            return
        if isinstance(held, CopiesHeld):
            for stream in streams:
                count = held.counts_by_id.get(stream.copy_id, 0)
                stream.copied = min(count, stream.generation.position)

    def _assign(self, stream: CopiedStream) -> None:
        now = self._clock.monotonic()
        avoid = [host for host, until in self._avoided_until.items() if until > now]
        stream.peer = choose_copy_host(
            stream.generation.request.id,
            own_domain=self._failure_domain,
            domains_by_host=self._domains_by_host,
            avoid=avoid,
        )
        stream.copied = 0


class CopyService:
    """Answers peers, and fetches copies for answers taken up here.

    Args:
        copy_store: The copies kept here.
        peers: The links.
    """

    def __init__(self, *, copy_store: CopyStore, peers: Peers) -> None:
        self._copy_store = copy_store
        self._peers = peers
        peers.on(StoreCopies, self._store)
        peers.on(FetchCopy, self._fetch)

    async def recover(
        self, host_id: str, copy_id: str, tail_start: int, tail: Sequence[int]
    ) -> array | None:
        """Return all token ids that a caller has, or None where some are lost.

        Args:
            host_id: The peer that keeps the copy; may be this host.
            copy_id: The copy.
            tail_start: The position of the tail's first token.
            tail: The ids that the caller's handle carried.
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
            log_event("copies", "Copy out of reach.", peer=host_id, why=error)
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
