"""Messages between entry hosts, over ZeroMQ.

Every message is signed with a resume key, so that only hosts of this system
are heard. Messages may be lost; whoever asks sets a time limit.
"""

import asyncio
import hashlib
import hmac
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from datetime import timedelta
from typing import Any

import msgspec
import zmq
import zmq.asyncio

from passtally.decision import log_event
from passtally.descriptors import check_free
from passtally.messages import Message
from passtally.settings import Address, PeerAddress

ASK_TIMEOUT = timedelta(milliseconds=500)
HIGH_WATER_MARK = 1000
MAC_BYTES = 12
#: What BLAKE2b takes of a key.
MAX_KEY_BYTES = 64
#: How often links are checked, and after what silence they are opened anew, in
#: milliseconds.
HEARTBEAT_MS = 1000
HEARTBEAT_TIMEOUT_MS = 1500
#: The same where other hosts' links come in, in milliseconds. Whoever opened a link
#: sees to it; here its end is only noted, so that a link whose host is gone is closed.
#: With both ends asking each second, a host with 26 links sent and heard 104 of these
#: a second, each a wake-up.
INCOMING_HEARTBEAT_MS = 10_000
INCOMING_TIMEOUT_MS = 15_000
#: How long a link may take to come up before it is tried anew, in milliseconds. Left
#: to itself TCP asks a host that was cut off after 1, 3, 7 and 15 seconds only.
CONNECT_TIMEOUT_MS = 300
#: The longest pause between two tries, in milliseconds.
RECONNECT_MS = 500

#: What is to be free before libzmq makes its first socket, and before it binds one. It
#: ends the process where it lacks a descriptor at some of its steps.
START_DESCRIPTORS = 12
BIND_DESCRIPTORS = 4

_ASK = b"?"
_REPLY = b"!"
_TELL = b"."


class PeerError(Exception):
    """A peer did not answer.

    Args:
        message: What happened.
        step: What was asked.
        peer: The peer's name.
    """

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        self.step = step
        self.peer = peer
        super().__init__(f"{step} with {peer}: {message}")


class UnknownPeerError(PeerError):
    """There is no link to a peer, or none yet; it may well answer others.

    Args:
        step: What was asked.
        peer: The peer's name.
    """

    def __init__(self, *, step: str, peer: str) -> None:
        super().__init__("there is no such peer", step=step, peer=peer)


Answerer = Callable[[Any], Awaitable[Message]]

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class Peers:
    """The links to the other entry hosts.

    Args:
        host_id: This host's name.
        listen: Where it is reached.
        peers_by_id: Where its peers are reached.
        keys: The keys that messages may be signed with; the first one signs.
    """

    def __init__(
        self,
        *,
        host_id: str,
        listen: Address,
        peers_by_id: Mapping[str, PeerAddress],
        keys: Sequence[bytes],
    ) -> None:
        self.host_id = host_id
        self.bytes_sent = 0
        self._listen = listen
        self._peers_by_id = dict(peers_by_id)
        self.use_keys(keys)
        self._context = zmq.asyncio.Context()
        self._router: zmq.asyncio.Socket | None = None
        self._sockets_by_id: dict[str, zmq.asyncio.Socket] = {}
        self._unheard: set[str] = set()
        #: How many questions wait for each link to come up.
        self._waiting_by_host: Counter[str] = Counter()
        self._readers_by_id: dict[str, asyncio.Task[None]] = {}
        self._answerers_by_type: dict[type, Answerer] = {}
        self._listeners_by_type: dict[type, Callable[[Any], None]] = {}
        self._waiting_by_number: dict[int, asyncio.Future[Message]] = {}
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def ids(self) -> list[str]:
        """The names of the peers."""
        return list(self._peers_by_id)

    @property
    def domains_by_id(self) -> dict[str, str]:
        """The failure domain of each peer."""
        return {
            peer.host_id: peer.failure_domain for peer in self._peers_by_id.values()
        }

    def on(self, kind: type, answerer: Answerer) -> None:
        """Answer messages of one type."""
        self._answerers_by_type[kind] = answerer

    def listen(self, kind: type, listener: Callable[[Any], None]) -> None:
        """Hear messages of one type that need no answer."""
        self._listeners_by_type[kind] = listener

    def use_keys(self, keys: Sequence[bytes], *, former: Sequence[bytes] = ()) -> None:
        """Change the keys.

        Hosts are told of a change one after the other. What is signed with the keys of
        before as well is heard by all of them meanwhile.

        Args:
            keys: The keys that messages may be signed with; the first one signs.
            former: Keys of before that sign too.
        """
        former = [key for key in former if key not in keys]
        self._keys = [key[:MAX_KEY_BYTES] for key in (*keys, *former)]
        self._signing_keys = [key[:MAX_KEY_BYTES] for key in (keys[0], *former)]

    def start(self) -> None:
        """Open a link to each peer; others come in once the address is bound.

        Raises:
            OSError: Too few descriptors are free.
        """
        check_free(START_DESCRIPTORS)
        self._router = self._open(zmq.ROUTER)
        self._router.setsockopt(zmq.HEARTBEAT_IVL, INCOMING_HEARTBEAT_MS)
        self._router.setsockopt(zmq.HEARTBEAT_TIMEOUT, INCOMING_TIMEOUT_MS)
        self._spawn(self._serve(self._router))
        for peer in self._peers_by_id.values():
            self._connect(peer)

    async def bind(self, address: Address | None = None) -> None:
        """Listen for other hosts, besides where this host listens already.

        Args:
            address: Where; None for the address that was told at first.

        Raises:
            OSError: The address can't be had now.
        """
        check_free(BIND_DESCRIPTORS)
        try:
            self._router.bind(f"tcp://{address or self._listen}")
        except zmq.ZMQError as error:
            raise OSError(error.errno, error.strerror) from error

    def unbind(self, address: Address) -> None:
        """Listen at an address no more; links that came in there are closed."""
        try:
            self._router.unbind(f"tcp://{address}")
        except zmq.ZMQError as error:
            log_event("peers", "Not let go.", listen=address, why=error)

    def add_peer(self, peer: PeerAddress) -> None:
        """Open a link to a peer that was not known, or whose address changed.

        Raises:
            zmq.ZMQError: None can be opened now, for want of descriptors.
        """
        known = self._peers_by_id.get(peer.host_id)
        if peer == known:
            return
        self.remove_peer(peer.host_id)
        # A peer counts as known only with a link: the next try opens what is missing.
        self._connect(peer)
        self._peers_by_id[peer.host_id] = peer

    def remove_peer(self, host_id: str) -> None:
        """Close the link to a peer."""
        if self._peers_by_id.pop(host_id, None) is None:
            return
        self._readers_by_id.pop(host_id).cancel()
        self._sockets_by_id.pop(host_id).close(linger=0)

    def find(self, address: Address) -> list[str]:
        """Return the names of the peers at an address."""
        peers = self._peers_by_id.values()
        return [peer.host_id for peer in peers if peer.address == address]

    async def is_reachable(self, host_id: str) -> bool:
        """Return whether the link to a peer is up: its heartbeats are answered."""
        socket = self._sockets_by_id.get(host_id)
        return socket is not None and bool(await socket.poll(0, zmq.POLLOUT))

    async def stop(self) -> None:
        """Close all links at once; what was not sent is dropped."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._context.destroy(linger=0)

    async def send_message(self, host_ids: Sequence[str], message: Message) -> set[str]:
        """Send a message that needs no answer; it may be lost.

        Returns:
            The hosts whose links took it.
        """
        told: set[str] = set()
        for host_id in host_ids:
            socket = self._sockets_by_id.get(host_id)
            if socket is None:
                continue
            try:
                # Behind a question that waits, this would wait as well, and be
                # cancelled with the link: an endless task that tells would end.
                if self._waiting_by_host[host_id]:
                    raise zmq.Again
                await self._send(socket, [_TELL, _pack_number(0)], message)
            except zmq.Again:
                if host_id not in self._unheard:
                    log_event("peers", "Out of reach, news is dropped.", peer=host_id)
                self._unheard.add(host_id)
            else:
                self._unheard.discard(host_id)
                told.add(host_id)
        return told

    async def ask(
        self, host_id: str, message: Message, *, timeout: timedelta = ASK_TIMEOUT
    ) -> Message:
        """Send a message and wait for its answer.

        Raises:
            PeerError: There is no such peer, or none answered in time.
        """
        step = type(message).__name__
        if host_id not in self._sockets_by_id:
            raise UnknownPeerError(step=step, peer=host_id)
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._waiting_by_number[number] = future
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._send_when_up(host_id, [_ASK, _pack_number(number)], message)
                return await future
        except TimeoutError as error:
            raise PeerError("no answer in time", step=step, peer=host_id) from error
        except asyncio.CancelledError as error:
            # Letting go of a link cancels what waits for it, not who asked.
            if asyncio.current_task().cancelling():
                raise
            raise UnknownPeerError(step=step, peer=host_id) from error
        finally:
            del self._waiting_by_number[number]

    async def _send_when_up(
        self, host_id: str, head: list[bytes], message: Message
    ) -> None:
        """Send a message; a link that is coming up is waited for."""
        self._waiting_by_host[host_id] += 1
        try:
            await self._send(self._sockets_by_id[host_id], head, message, flags=0)
        finally:
            self._waiting_by_host[host_id] -= 1
            if not self._waiting_by_host[host_id]:
                del self._waiting_by_host[host_id]

    def _connect(self, peer: PeerAddress) -> None:
        dealer = self._open(zmq.DEALER)
        dealer.connect(f"tcp://{peer.address}")
        self._sockets_by_id[peer.host_id] = dealer
        reader = self._spawn(self._receive_replies(dealer, peer))
        self._readers_by_id[peer.host_id] = reader

    def _open(self, kind: int) -> zmq.asyncio.Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        # What could not be sent while a peer was out of reach is dropped: it would
        # be taken for news when the peer is back.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        return socket

    async def _serve(self, router: zmq.asyncio.Socket) -> None:
        while True:
            frames = await router.recv_multipart()
            try:
                self._take(router, frames)
            except Exception as error:
                # One message must not make this host deaf to all that follow.
                log_event("peers", "Could not take a message.", why=repr(error))

    def _take(self, router: zmq.asyncio.Socket, frames: list[bytes]) -> None:
        if len(frames) != 5 or frames[1] not in (_ASK, _TELL):
            return
        message = self._read(frames[1:])
        if frames[1] == _TELL:
            self._receive(message)
            return
        answerer = self._answerers_by_type.get(type(message))
        if answerer is not None:
            self._spawn(self._answer(router, frames, answerer, message))

    def _receive(self, message: Message | None) -> None:
        listener = self._listeners_by_type.get(type(message))
        if listener is not None:
            listener(message)

    async def _answer(
        self,
        router: zmq.asyncio.Socket,
        frames: list[bytes],
        answerer: Answerer,
        message: Message,
    ) -> None:
        try:
            reply = await answerer(message)
        except Exception as error:
            log_event("peers", "Could not answer.", kind=type(message), why=repr(error))
            return
        await self._send(router, [frames[0], _REPLY, frames[2]], reply)

    async def _receive_replies(
        self, dealer: zmq.asyncio.Socket, peer: PeerAddress
    ) -> None:
        while True:
            frames = await dealer.recv_multipart()
            if frames[0] in (_ASK, _TELL):
                _open_anew(dealer, peer)
                continue
            if len(frames) != 4 or frames[0] != _REPLY:
                continue
            message = self._read(frames)
            number = int.from_bytes(frames[1])
            future = self._waiting_by_number.get(number)
            if message is not None and future is not None and not future.done():
                future.set_result(message)

    async def _send(
        self,
        socket: zmq.asyncio.Socket,
        head: list[bytes],
        message: Message,
        *,
        flags: int = zmq.NOBLOCK,
    ) -> None:
        payload = _encode(message)
        mac = b"".join(_sign(key, head[-2:], payload) for key in self._signing_keys)
        self.bytes_sent += len(payload) + len(mac) + sum(map(len, head))
        await socket.send_multipart([*head, payload, mac], flags=flags)

    def _read(self, frames: list[bytes]) -> Message | None:
        kind, number, payload, mac = frames
        macs = [_sign(key, [kind, number], payload) for key in self._keys]
        signed = [mac[at : at + MAC_BYTES] for at in range(0, len(mac), MAC_BYTES)]
        pairs = itertools.product(macs, signed)
        if not any(hmac.compare_digest(expected, told) for expected, told in pairs):
            log_event("peers", "Dropped a message with a wrong signature.")
            return None
        try:
            return _decode(payload)
        except msgspec.MsgspecError as error:
            log_event("peers", "Dropped a message of another version.", why=error)
            return None

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _open_anew(dealer: zmq.asyncio.Socket, peer: PeerAddress) -> None:
    """Leave a connection that sends back what is sent: it leads to itself.

    A client that tries a local port where nobody listens can be given that very port.
    Heartbeats are answered, so the connection would last, and keep the peer from
    listening there.
    """
    log_event("peers", "A link leads to itself, opening it anew.", peer=peer.host_id)
    dealer.disconnect(f"tcp://{peer.address}")
    dealer.connect(f"tcp://{peer.address}")


def _pack_number(number: int) -> bytes:
    return number.to_bytes(8)


def _sign(key: bytes, head: list[bytes], payload: bytes) -> bytes:
    mac = hashlib.blake2b(b"".join(head), key=key, digest_size=MAC_BYTES)
    mac.update(payload)
    return mac.digest()
