"""Lets a host borrow from the retry budgets of the hosts that it is linked to.

All hosts share the budget of a service. Among 195 hosts each serves one stream in ten
seconds, which earns it 0.8 of a retry: without loans a stream that is lost twice would
end, while all hosts together use an eighth of the budget.
"""

import random
from datetime import timedelta

from passtally.decision import log_event
from passtally.messages import BorrowRepeats, RepeatsLent
from passtally.peers import PeerError, Peers
from passtally.retry_budget import ServiceBudgets
from passtally.roster import Roster

#: Maximum number of hosts that are asked for one retry. A host has something to lend if
#: it received a request in the last window; among 195 hosts two in three have.
MAX_ASKED = 4
#: Timeout for each of these hosts. A caller notices a pause of 700 ms, of which the
#: detection of a loss takes 300 ms; a host of the same failure domain answers within
#: 2 ms.
ASK_TIMEOUT = timedelta(milliseconds=60)


class BudgetLoans:
    """Borrows retries from linked hosts, and lends them some.

    Args:
        peers: The links.
        roster: The known hosts.
        rng: The source of randomness for the choice of hosts.
    """

    def __init__(self, *, peers: Peers, roster: Roster, rng: random.Random) -> None:
        self._peers = peers
        self._roster = roster
        self._rng = rng
        self._budgets_by_scope: dict[str, ServiceBudgets] = {}
        peers.on(BorrowRepeats, self._answer)

    def lend_from(self, budgets: ServiceBudgets, *, scope: str = "") -> None:
        """Lend other hosts what a budget has left.

        Args:
            budgets: The budget.
            scope: The kind of budget; empty for the retry budget.
        """
        self._budgets_by_scope[scope] = budgets

    def stop_lending(self, scope: str) -> None:
        """Lend nothing more from a budget."""
        self._budgets_by_scope.pop(scope, None)

    async def _answer(self, message: BorrowRepeats) -> RepeatsLent:
        budgets = self._budgets_by_scope.get(message.scope)
        if budgets is None:
            return RepeatsLent(amount=0.0)
        return RepeatsLent(amount=budgets.lend(message.service, message.amount))

    async def ask(self, service: str, amount: float, *, scope: str = "") -> float:
        """Ask some hosts, one after the other, and return the amount that they lent.

        Args:
            service: The service.
            amount: The number of retries that this host lacks, which may be a fraction.
            scope: The kind of budget; empty for the retry budget.
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
            "Asked peers for a loan.",
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
