"""Lets a host borrow repeats from the hosts that it is linked to.

The budget of a service is shared by all hosts. Among 195 of them a host sees one stream
in ten seconds, which earns it 0.8 of a repeat: a stream that is lost twice would end,
while all hosts together use an eighth of what they may.
"""

import random
from datetime import timedelta

from passtally.decision import log_event
from passtally.messages import BorrowRepeats, RepeatsLent
from passtally.peers import PeerError, Peers
from passtally.retry_budget import ServiceBudgets
from passtally.roster import Roster

#: How many hosts are asked for one repeat. Each has something left if it took a request
#: in the last window, two in three among 195 hosts.
MAX_ASKED = 4
#: How long each may take. A caller notices a pause of 700 ms, of which finding a loss
#: takes 300 ms; a host of the same failure domain answers within 2 ms.
ASK_TIMEOUT = timedelta(milliseconds=60)


class BudgetLoans:
    """Asks linked hosts for repeats, and lends them some.

    Args:
        peers: The links.
        roster: Who is there.
        rng: Where the choice of hosts comes from.
    """

    def __init__(self, *, peers: Peers, roster: Roster, rng: random.Random) -> None:
        self._peers = peers
        self._roster = roster
        self._rng = rng

    def lend_from(self, budgets: ServiceBudgets) -> None:
        """Answer other hosts with what a budget has left."""

        async def answer(message: BorrowRepeats) -> RepeatsLent:
            return RepeatsLent(amount=budgets.lend(message.service, message.amount))

        self._peers.on(BorrowRepeats, answer)

    async def ask(self, service: str, amount: float) -> float:
        """Ask some hosts, one after the other, and return what they lent.

        Args:
            service: The service.
            amount: The repeats, or the part of one, that this host lacks.
        """
        lent = 0.0
        host_ids = [row.host_id for row in self._roster.neighbours()]
        self._rng.shuffle(host_ids)
        for host_id in host_ids[:MAX_ASKED]:
            lent += await self._ask_one(host_id, service, amount - lent)
            if lent >= amount:
                break
        log_event("budget", "Borrowed.", service=service, wanted=amount, lent=lent)
        return lent

    async def _ask_one(self, host_id: str, service: str, amount: float) -> float:
        message = BorrowRepeats(service=service, amount=amount)
        try:
            reply = await self._peers.ask(host_id, message, timeout=ASK_TIMEOUT)
        except PeerError as error:
            log_event("budget", "Peer did not answer.", peer=host_id, why=error)
            return 0.0
        return reply.amount if isinstance(reply, RepeatsLent) else 0.0
