"""Exchange of the crash counts of requests between hosts.

A caller's retry may reach any host. Each host forwards the updates that are new to it,
so that all hosts receive a crash within a few hops, even if each is linked to only a
few others.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from datetime import timedelta

from passtally.clock import Clock
from passtally.crash_guard import CrashGuard
from passtally.decision import log_event
from passtally.messages import FetchQuarantine, QuarantineNews
from passtally.peers import PeerError, Peers

#: Time in which updates that are not urgent are batched before they are sent, plus
#: :data:`GATHER_TIME_PER_HOST` for each host that they go to. When many endpoints crash
#: at once, each host receives updates from several others, and sends them on together.
GATHER_TIME = timedelta(milliseconds=5)
GATHER_TIME_PER_HOST = timedelta(milliseconds=1)
#: Pause after a full message of ``MAX_ROWS`` rows. It limits the traffic over a slow
#: link to 16 KB a second for each host when many endpoints crash at once.
BATCH_PAUSE = timedelta(milliseconds=200)
#: Interval at which requests with several open crashes are sent again, since a message
#: may be lost with its link.
RESEND_INTERVAL = timedelta(seconds=1)
#: Limit of rows in one message, of about 100 bytes each.
MAX_ROWS = 32
#: Interval at which a host that has just started asks others until one answers.
FIRST_ASK_INTERVAL = timedelta(milliseconds=200)
#: Timeout of one such request.
ASK_TIMEOUT = timedelta(milliseconds=300)
#: Interval at which a host later asks a host of another failure domain. Links between
#: domains are one-way, so a host whose own domain is cut off may receive no updates.
ASK_INTERVAL = timedelta(seconds=1)


class QuarantineExchange:
    """Synchronizes the crash counts of requests with other hosts.

    Args:
        guard: The local crash guard.
        peers: The links to other hosts.
        linked_ids: Returns the hosts that this host has a link to.
        remote_ids: Returns those of them that may have no link back to this host.
        clock: The clock.
        rng: Random source for the choice of the host to ask.
    """

    def __init__(
        self,
        *,
        guard: CrashGuard,
        peers: Peers,
        linked_ids: Callable[[], Sequence[str]],
        remote_ids: Callable[[], Sequence[str]] = lambda: (),
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._guard = guard
        self._quarantine = guard.quarantine
        self._peers = peers
        self._linked_ids = linked_ids
        self._far_ids = remote_ids
        self._clock = clock
        self._rng = rng
        peers.listen(QuarantineNews, self._receive)
        peers.on(FetchQuarantine, self._answer)

    async def run(self) -> None:
        """Send updates as they arise, and resend the important ones, forever."""
        while True:
            await self._wait_for_change()
            host_ids = self._linked_ids()
            if not self._quarantine.has_urgent_updates:
                await self._clock.sleep(
                    GATHER_TIME + len(host_ids) * GATHER_TIME_PER_HOST
                )
            await self._send_updates(host_ids)

    async def ask(self) -> None:
        """Fetch counts after start-up, then regularly from ``remote_ids``, forever."""
        while not await self._ask_one(self._linked_ids()):
            await self._clock.sleep(FIRST_ASK_INTERVAL)
        while True:
            await self._clock.sleep(ASK_INTERVAL)
            await self._ask_one(self._far_ids())

    async def _wait_for_change(self) -> None:
        changed = self._guard.changed
        if self._quarantine.is_empty:
            await changed.wait()
        try:
            async with asyncio.timeout(RESEND_INTERVAL.total_seconds()):
                await changed.wait()
        except TimeoutError:
            return
        finally:
            changed.clear()

    async def _send_updates(self, host_ids: Sequence[str]) -> None:
        now = self._clock.monotonic()
        rows = self._quarantine.pop_updates(
            MAX_ROWS, now=now, sent_before=now - RESEND_INTERVAL
        )
        if rows:
            await self._peers.send_message(host_ids, QuarantineNews(rows=rows))
        if len(rows) == MAX_ROWS:
            self._guard.changed.set()
            await self._clock.sleep(BATCH_PAUSE)

    async def _ask_one(self, host_ids: Sequence[str]) -> bool:
        """Ask one host, and return whether it answered."""
        if not host_ids:
            return False
        host_id = self._rng.choice(host_ids)
        try:
            reply = await self._peers.ask(
                host_id, FetchQuarantine(), timeout=ASK_TIMEOUT
            )
        except PeerError as error:
            log_event("quarantine", "Peer did not answer.", peer=host_id, why=error)
            return False
        if isinstance(reply, QuarantineNews):
            self._receive(reply)
        return True

    async def _answer(self, message: FetchQuarantine) -> QuarantineNews:
        return QuarantineNews(rows=self._quarantine.rows(now=self._clock.monotonic()))

    def _receive(self, message: QuarantineNews) -> None:
        now = self._clock.monotonic()
        for row in message.rows:
            was_quarantined = self._guard.remaining(row.fingerprint) is not None
            suspect = self._quarantine.merge(row, now=now)
            if suspect is None:
                continue
            self._guard.changed.set()
            if suspect.is_convicted:
                self._guard.report(row.fingerprint)
            elif was_quarantined and not suspect.is_quarantined:
                log_event(
                    "quarantine",
                    "Request cleared of crashes.",
                    fingerprint=row.fingerprint.hex(),
                )
