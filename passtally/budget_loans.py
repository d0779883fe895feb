"""Lets a host borrow from the budgets of the hosts that it is linked to.

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
        self._budgets_by_scope: dict[str, ServiceBudgets] = {}
        peers.on(BorrowRepeats, self._answer)

    def lend_from(self, budgets: ServiceBudgets, *, scope: str = "") -> None:
        """Answer other hosts with what a budget has left.

        Args:
            budgets: The budget.
            scope: What it is of; empty for repeats.
        """
        self._budgets_by_scope[scope] = budgets

    def stop_lending(self, scope: str) -> None:
        """Answer no more for a budget."""
        self._budgets_by_scope.pop(scope, None)

    async def _answer(self, message: BorrowRepeats) -> RepeatsLent:
        budgets = self._budgets_by_scope.get(message.scope)
        if budgets is None:
            return RepeatsLent(amount=0.0)
        return RepeatsLent(amount=budgets.lend(message.service, message.amount))

    async def ask(self, service: str, amount: float, *, scope: str = "") -> float:
        """Ask some hosts, one after the other, and return what they lent.

        Args:
            service: The service.
            amount: The repeats, or the part of one, that this host lacks.
            scope: Of which budgets; empty for those of repeats.
        """
        lent = 0.0
        host_ids = [row.host_id for row in self._roster.neighbours()]
        self._rng.shuffle(host_ids)
        for host_id in host_ids[:MAX_ASKED]:
            message = BorrowRepeats(service=service, amount=amount - lent, scope=scope)
            lent += await self._ask_one(host_id, message)
            if lent >= amount:
                break
        log_event(
            "budget",
            "Borrowed.",
            service=service,
            scope=scope,
            wanted=amount,
            lent=lent,
        )
        return lent

    async def _ask_one(self, host_id: str, message: BorrowRepeats) -> float:
        try:
            reply = await self._peers.ask(host_id, message, timeout=ASK_TIMEOUT)
        except PeerError as error:
            log_event("budget", "Peer did not answer.", peer=host_id, why=error)
            return 0.0
        return reply.amount if isinstance(reply, RepeatsLent) else 0.0
