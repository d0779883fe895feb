"""The parts of an entry host that connect it to the other entry hosts."""

import random

from passtally.budget_loans import BudgetLoans
from passtally.clock import Clock
from passtally.datagrams import Datagrams
from passtally.departures import Departures
from passtally.member_table import MemberTable
from passtally.membership import Gossip
from passtally.messages import MemberRow
from passtally.peers import Peers
from passtally.reported_exits import ReportedExits
from passtally.roster import Roster
from passtally.settings import Settings
from passtally.tunnel_hosts import TunnelHosts


class HostLinks:
    """The links and datagrams to other hosts, the gossip, the loans and the tunnels.

    Args:
        settings: The settings of this host.
        clock: The clock.
        departures: The leaving endpoints, spread by gossip.
        exits: The reported exits of endpoints, spread by gossip.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        departures: Departures,
        exits: ReportedExits,
    ) -> None:
        self.peers = Peers(
            host_id=settings.host_id,
            listen=settings.peer_listen,
            peers_by_id={},
            keys=list(settings.resume_keys.values()),
        )
        own = MemberRow(
            host_id=settings.host_id,
            failure_domain=settings.failure_domain,
            counter=int(clock.now().timestamp()),
            config_version=0,
            leaving=False,
            address=str(settings.peer_listen),
            tunnel_address=str(settings.tunnel_listen or ""),
        )
        table = MemberTable(own=own)
        self.gossip = Gossip(
            table=table,
            peers=self.peers,
            clock=clock,
            rng=random.Random(),
            departures=departures,
            exits=exits,
        )
        self.roster = Roster(
            seeds=settings.seeds, table=table, peers=self.peers, clock=clock
        )
        self.datagrams = Datagrams(signer=self.peers.signer, clock=clock)
        self.loans = BudgetLoans(
            peers=self.peers, roster=self.roster, rng=random.Random()
        )
        self.tunnels = TunnelHosts(
            list_hosts=self.roster.others,
            own=lambda: self.roster.own,
            signer=self.peers.signer,
            clock=clock,
            rng=random.Random(),
        )
