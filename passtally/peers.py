"""Messages between entry hosts, over ZeroMQ.

Every message is signed with a resume key, so that only messages from hosts of this
system are accepted. Messages may be lost, so each request has a timeout.
"""

import asyncio
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
from passtally.message_signing import MessageSigner
from passtally.messages import Message, decode_message
from passtally.settings import Address, PeerAddress
from passtally.task_set import TaskSet

#: Default timeout of a request.
ASK_TIMEOUT = timedelta(milliseconds=500)
#: Maximum number of messages that are queued on each link and in each direction.
HIGH_WATER_MARK = 1000
#: Heartbeat interval of outgoing links, and the silence after which a link is
#: reconnected, in milliseconds.
HEARTBEAT_MS = 1000
HEARTBEAT_TIMEOUT_MS = 1500
#: Heartbeat interval and timeout of incoming links, in milliseconds. The host that
#: opened a link checks and reconnects it; this end only has to close links of dead
#: hosts. With heartbeats each second from both ends, a host with 26 links sent and
#: received 104 of them a second, and each woke up the process.
INCOMING_HEARTBEAT_MS = 10_000
INCOMING_TIMEOUT_MS = 15_000
#: Timeout of a connection attempt, in milliseconds. Without it TCP retries a host
#: behind a network partition only after 1, 3, 7 and 15 seconds.
CONNECT_TIMEOUT_MS = 300
#: Maximum delay between two connection attempts, in milliseconds.
RECONNECT_MS = 500

#: Number of file descriptors that must be free before libzmq opens its first socket,
#: and before it binds one. In some places libzmq aborts the process if it gets none.
START_DESCRIPTORS = 12
BIND_DESCRIPTORS = 4

_REQUEST = b"?"
_REPLY = b"!"
_NOTIFICATION = b"."


class PeerError(Exception):
    """A request to a peer was not answered.

    Args:
        message: The cause.
        step: The type of the request.
        peer: The peer's name.
    """

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        self.step = step
        self.peer = peer
        super().__init__(f"{step} with {peer}: {message}")


class UnknownPeerError(PeerError):
    """There is no link to a peer, or not yet; the peer itself may be healthy.

    Args:
        step: The type of the request.
        peer: The peer's name.
    """

    def __init__(self, *, step: str, peer: str) -> None:
        super().__init__("there is no link to this peer", step=step, peer=peer)


RequestHandler = Callable[[Any], Awaitable[Message]]

_encode = msgspec.msgpack.Encoder().encode


class Peers:
    """The links to the other entry hosts.

    Args:
        host_id: This host's name.
        listen: The address on which this host listens.
        peers_by_id: The peers to link to at the start, by name.
        keys: The accepted signing keys; the first one signs this host's messages.
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
        self.signer = MessageSigner(keys=keys)
        self._context = zmq.asyncio.Context()
        self._router: zmq.asyncio.Socket | None = None
        self._sockets_by_id: dict[str, zmq.asyncio.Socket] = {}
        self._unreachable_ids: set[str] = set()
        #: Number of requests that wait for each link to connect.
        self._waiting_requests_by_host: Counter[str] = Counter()
        self._readers_by_id: dict[str, asyncio.Task[None]] = {}
        self._handlers_by_type: dict[type, RequestHandler] = {}
        self._listeners_by_type: dict[type, Callable[[Any], None]] = {}
        self._replies_by_number: dict[int, asyncio.Future[Message]] = {}
        self._numbers = itertools.count(1)
        self._tasks = TaskSet()

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

    def on(self, kind: type, handler: RequestHandler) -> None:
        """Set the handler that answers requests of one type."""
        self._handlers_by_type[kind] = handler

    def listen(self, kind: type, listener: Callable[[Any], None]) -> None:
        """Set the listener for notifications, which get no reply, of one type."""
        self._listeners_by_type[kind] = listener

    def start(self) -> None:
        """Open a link to each peer; incoming links need :meth:`bind`.

        Raises:
            OSError: Too few descriptors are free.
        """
        check_free(START_DESCRIPTORS)
        self._router = self._open(zmq.ROUTER)
        self._router.setsockopt(zmq.HEARTBEAT_IVL, INCOMING_HEARTBEAT_MS)
        self._router.setsockopt(zmq.HEARTBEAT_TIMEOUT, INCOMING_TIMEOUT_MS)
        self._tasks.spawn(self._serve(self._router))
        for peer in self._peers_by_id.values():
            self._connect(peer)

    async def bind(self, address: Address | None = None) -> None:
        """Accept links on an address, in addition to those bound before.

        Args:
            address: The address; None for the one given to the constructor.

        Raises:
            OSError: The address can't be bound now, or too few descriptors are free.
        """
        check_free(BIND_DESCRIPTORS)
        try:
            self._router.bind(f"tcp://{address or self._listen}")
        except zmq.ZMQError as error:
            raise OSError(error.errno, error.strerror) from error

    def unbind(self, address: Address) -> None:
        """Stop listening on an address, and close the links accepted there."""
        try:
            self._router.unbind(f"tcp://{address}")
        except zmq.ZMQError as error:
            log_event("peers", "Could not stop listening.", listen=address, why=error)

    def add_peer(self, peer: PeerAddress) -> None:
        """Open a link to a peer that is new or whose address changed.

        Raises:
            zmq.ZMQError: No socket can be opened now, for lack of descriptors.
        """
        known = self._peers_by_id.get(peer.host_id)
        if peer == known:
            return
        self.remove_peer(peer.host_id)
        # Recorded only after the link is open, so that a failed call can be retried.
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
        """Return whether the link to a peer is up, with its heartbeats answered."""
        socket = self._sockets_by_id.get(host_id)
        return socket is not None and bool(await socket.poll(0, zmq.POLLOUT))

    async def stop(self) -> None:
        """Close all links at once, and drop unsent messages."""
        await self._tasks.cancel()
        self._context.destroy(linger=0)

    async def send_message(self, host_ids: Sequence[str], message: Message) -> set[str]:
        """Send a notification to some hosts; it gets no reply, and may be lost.

        Returns:
            The hosts whose links accepted the message.
        """
        sent: set[str] = set()
        for host_id in host_ids:
            socket = self._sockets_by_id.get(host_id)
            if socket is None:
                continue
            try:
                # Behind a request that waits for the link, this send would wait too.
                # It would be cancelled when the link is removed, which would end the
                # background task that sends.
                if self._waiting_requests_by_host[host_id]:
                    raise zmq.Again
                await self._send(socket, [_NOTIFICATION, _pack_number(0)], message)
            except zmq.Again:
                if host_id not in self._unreachable_ids:
                    log_event(
                        "peers", "Peer unreachable, message dropped.", peer=host_id
                    )
                self._unreachable_ids.add(host_id)
            else:
                self._unreachable_ids.discard(host_id)
                sent.add(host_id)
        return sent

    async def ask(
        self, host_id: str, message: Message, *, timeout: timedelta = ASK_TIMEOUT
    ) -> Message:
        """Send a request and wait for its reply.

        Raises:
            PeerError: There is no link to the peer, or it did not reply in time.
        """
        step = type(message).__name__
        if host_id not in self._sockets_by_id:
            raise UnknownPeerError(step=step, peer=host_id)
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._replies_by_number[number] = future
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._send_when_up(
                    host_id, [_REQUEST, _pack_number(number)], message
                )
                return await future
        except TimeoutError as error:
            raise PeerError("no answer in time", step=step, peer=host_id) from error
        except asyncio.CancelledError as error:
            # The removal of a link cancels the sends that wait for it. Unless this task
            # itself was cancelled, the caller gets an error instead.
            if asyncio.current_task().cancelling():
                raise
            raise UnknownPeerError(step=step, peer=host_id) from error
        finally:
            del self._replies_by_number[number]

    async def _send_when_up(
        self, host_id: str, head: list[bytes], message: Message
    ) -> None:
        """Send a message, after waiting for the link to connect if need be."""
        self._waiting_requests_by_host[host_id] += 1
        try:
            await self._send(self._sockets_by_id[host_id], head, message, flags=0)
        finally:
            self._waiting_requests_by_host[host_id] -= 1
            if not self._waiting_requests_by_host[host_id]:
                del self._waiting_requests_by_host[host_id]

    def _connect(self, peer: PeerAddress) -> None:
        dealer = self._open(zmq.DEALER)
        dealer.connect(f"tcp://{peer.address}")
        self._sockets_by_id[peer.host_id] = dealer
        reader = self._tasks.spawn(self._receive_replies(dealer, peer))
        self._readers_by_id[peer.host_id] = reader

    def _open(self, kind: int) -> zmq.asyncio.Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        # Messages to an unreachable peer are dropped. If they were queued, the peer
        # would take outdated messages for current ones once it is reachable again.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        return socket

    async def _serve(self, router: zmq.asyncio.Socket) -> None:
        while True:
            frames = await router.recv_multipart()
            try:
                self._dispatch(router, frames)
            except Exception as error:
                # An error in one message must not stop the loop that receives all.
                log_event("peers", "Could not handle a message.", why=repr(error))

    def _dispatch(self, router: zmq.asyncio.Socket, frames: list[bytes]) -> None:
        if len(frames) != 5 or frames[1] not in (_REQUEST, _NOTIFICATION):
            return
        message = self._verify_and_decode(frames[1:])
        if frames[1] == _NOTIFICATION:
            self._receive(message)
            return
        handler = self._handlers_by_type.get(type(message))
        if handler is not None:
            self._tasks.spawn(self._answer(router, frames, handler, message))

    def _receive(self, message: Message | None) -> None:
        listener = self._listeners_by_type.get(type(message))
        if listener is not None:
            listener(message)

    async def _answer(
        self,
        router: zmq.asyncio.Socket,
        frames: list[bytes],
        handler: RequestHandler,
        message: Message,
    ) -> None:
        try:
            reply = await handler(message)
        except Exception as error:
            log_event(
                "peers",
                "Could not answer a request.",
                kind=type(message),
                why=repr(error),
            )
            return
        await self._send(router, [frames[0], _REPLY, frames[2]], reply)

    async def _receive_replies(
        self, dealer: zmq.asyncio.Socket, peer: PeerAddress
    ) -> None:
        while True:
            frames = await dealer.recv_multipart()
            if frames[0] in (_REQUEST, _NOTIFICATION):
                _reconnect(dealer, peer)
                continue
            if len(frames) != 4 or frames[0] != _REPLY:
                continue
            message = self._verify_and_decode(frames)
            number = int.from_bytes(frames[1])
            future = self._replies_by_number.get(number)
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
        mac = self.signer.sign(*head[-2:], payload)
        self.bytes_sent += len(payload) + len(mac) + sum(map(len, head))
        await socket.send_multipart([*head, payload, mac], flags=flags)

    def _verify_and_decode(self, frames: list[bytes]) -> Message | None:
        kind, number, payload, mac = frames
        if not self.signer.is_signed(mac, kind, number, payload):
            log_event("peers", "Dropped a message with a wrong signature.")
            return None
        try:
            return decode_message(payload)
        except ValueError as error:
            log_event(
                "peers", "Dropped a message that could not be decoded.", why=error
            )
            return None


def _reconnect(dealer: zmq.asyncio.Socket, peer: PeerAddress) -> None:
    """Reconnect a link whose TCP connection is connected to itself.

    A client that connects to a local port on which no process listens may get that same
    port as its source port. It then receives its own messages, and also answers its own
    heartbeats, so that the connection would last and keep the peer from binding the
    port.
    """
    log_event("peers", "Link connected to itself, reconnecting.", peer=peer.host_id)
    dealer.disconnect(f"tcp://{peer.address}")
    dealer.connect(f"tcp://{peer.address}")


def _pack_number(number: int) -> bytes:
    return number.to_bytes(8)
