"""Tells the other hosts of requests under which endpoints ended, and hears it of them.

A caller's next try comes to any host. Each host hands on what is new to it, so that all
hear of an end within a few messages' time, also where a host is linked to few others.
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

#: How long news is gathered that can wait, and how much longer for each host that is
#: told: of many ends at once each host hears from several others.
GATHER = timedelta(milliseconds=5)
GATHER_PER_HOST = timedelta(milliseconds=1)
#: The pause between two messages of what is new beyond the first. It bounds what ends
#: of many endpoints at once cost a small link: 16 KB a second to each host.
PART_PAUSE = timedelta(milliseconds=200)
#: How often what matters is told again, for hosts that missed it: a message may be lost
#: with its link.
REPEAT_INTERVAL = timedelta(seconds=1)
#: The most requests told in one message, of some 100 bytes each.
MAX_ROWS = 32
#: How often a host that has just started asks until one answers, and how long each may
#: take.
FIRST_ASK_INTERVAL = timedelta(milliseconds=200)
ASK_TIMEOUT = timedelta(milliseconds=300)
#: How often a host asks one of another failure domain later: such a link leads one way,
#: and where its own domain is cut off nobody may tell it.
ASK_INTERVAL = timedelta(seconds=1)


class QuarantineExchange:
    """Keeps what hosts know of such requests alike.

    Args:
        guard: What refuses requests here.
        peers: The links.
        linked_ids: Returns the hosts that this one is linked to.
        far_ids: Returns those of them that may not be linked to this one.
        clock: The clock.
        rng: Where the choice of the host to ask comes from.
    """

    def __init__(
        self,
        *,
        guard: CrashGuard,
        peers: Peers,
        linked_ids: Callable[[], Sequence[str]],
        far_ids: Callable[[], Sequence[str]] = lambda: (),
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._guard = guard
        self._quarantine = guard.quarantine
        self._peers = peers
        self._linked_ids = linked_ids
        self._far_ids = far_ids
        self._clock = clock
        self._rng = rng
        peers.listen(QuarantineNews, self._receive)
        peers.on(FetchQuarantine, self._answer)

    async def run(self) -> None:
        """Tell what is new, and now and then again, for ever."""
        while True:
            await self._wait_for_news()
            host_ids = self._linked_ids()
            if not self._quarantine.has_urgent_updates:
                await self._clock.sleep(GATHER + len(host_ids) * GATHER_PER_HOST)
            await self._send_updates(host_ids)

    async def ask(self) -> None:
        """Ask others at the start, and then those who may not tell, for ever."""
        while not await self._ask_one(self._linked_ids()):
            await self._clock.sleep(FIRST_ASK_INTERVAL)
        while True:
            await self._clock.sleep(ASK_INTERVAL)
            await self._ask_one(self._far_ids())

    async def _wait_for_news(self) -> None:
        changed = self._guard.changed
        if self._quarantine.is_empty:
            await changed.wait()
        try:
            async with asyncio.timeout(REPEAT_INTERVAL.total_seconds()):
                await changed.wait()
        except TimeoutError:
            return
        finally:
            changed.clear()

    async def _send_updates(self, host_ids: Sequence[str]) -> None:
        now = self._clock.monotonic()
        rows = self._quarantine.pop_updates(
            MAX_ROWS, now=now, told_before=now - REPEAT_INTERVAL
        )
        if rows:
            await self._peers.send_message(host_ids, QuarantineNews(rows=rows))
        if len(rows) == MAX_ROWS:
            self._guard.changed.set()
            await self._clock.sleep(PART_PAUSE)

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

    def _receive(self, news: QuarantineNews) -> None:
        now = self._clock.monotonic()
        for row in news.rows:
            was_held = self._guard.remaining(row.fingerprint) is not None
            suspect = self._quarantine.merge(row, now=now)
            if suspect is None:
                continue
            self._guard.changed.set()
            if suspect.is_quarantined and not was_held:
                self._guard.record_quarantined(suspect)
            elif was_held and not suspect.is_quarantined:
                log_event("quarantine", "Cleared.", fingerprint=row.fingerprint.hex())
