"""The delay until a failure domain that the store rejects learns of newer versions.

Its hosts must get configuration changes from hosts of another domain, and they only ask
hosts that have reported a newer version. For small changes, these reports spread by
gossip alone. Guards against a report that arrives too late for the change.
"""

import asyncio
from functools import partial

from standins.virtual import run_virtually
from tests.gossip_fleet import Fleet, Node

HOSTS = 74
DOMAINS = 4
REJECTED_DOMAIN = "d0"
PREFIX = "config/"
CHANGES = 20
#: Maximum delay of the report, in seconds. A change must be in force within 2 or 3 s,
#: and is only requested after the report.
MAX_DELAY = 2.0


class TestRefusedDomain:
    def test_all_its_hosts_receive_a_new_version_in_time(self):
        async def test() -> None:
            fleet = Fleet(hosts=HOSTS, domains=DOMAINS, loss=0.03)
            fleet.start(fleet.rows)
            fleet.know_all()
            versions: dict[str, int] = {}
            for node in fleet.nodes:
                node.gossip.versions = lambda name=node.id: {
                    PREFIX: versions.get(name, 0)
                }
                node.gossip.seeks_versions = partial(is_rejected, node)
            await asyncio.sleep(8)
            worst = 0.0
            for version in range(1, CHANGES + 1):
                for node in fleet.nodes:
                    if not is_rejected(node):
                        learn(node, versions, version)
                worst = max(worst, await wait_until_received(fleet, versions, version))
                await asyncio.sleep(5)
            assert worst < MAX_DELAY

        run_virtually(test())


def is_rejected(node: Node) -> bool:
    return node.table.own.failure_domain == REJECTED_DOMAIN


def learn(node: Node, versions: dict[str, int], version: int) -> None:
    versions[node.id] = version
    node.gossip.config_version = version


async def wait_until_received(
    fleet: Fleet, versions: dict[str, int], version: int
) -> float:
    """Wait until each host of the rejected domain has received a version.

    Each host that has received the version then reports it to others.

    Returns:
        The time until the last host has received it, in seconds.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    waiting = [node for node in fleet.nodes if is_rejected(node)]
    while waiting:
        for node in list(waiting):
            rows = node.roster.linked()
            if any(row.versions_by_prefix.get(PREFIX, 0) >= version for row in rows):
                learn(node, versions, version)
                waiting.remove(node)
        await asyncio.sleep(0.05)
    return loop.time() - began
