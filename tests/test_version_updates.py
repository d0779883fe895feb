"""How soon a domain that the store turns away hears which versions others have.

It learns from another domain, and only from hosts of which it has heard that they
have a newer version. Of small changes that others learned gossip alone tells.
"""

import asyncio
from functools import partial

from standins.virtual import run_virtually
from tests.gossip_fleet import Fleet, Node

HOSTS = 74
DOMAINS = 4
REFUSED = "d0"
PREFIX = "config/"
CHANGES = 20
#: A change must be in force within 2 or 3 s, and is to be asked for after that.
HEARD_WITHIN = 2.0


class TestRefusedDomain:
    def test_all_its_hosts_hear_of_a_new_version_in_time(self):
        async def test() -> None:
            fleet = Fleet(hosts=HOSTS, domains=DOMAINS, loss=0.03)
            fleet.start(fleet.rows)
            fleet.know_all()
            versions: dict[str, int] = {}
            for node in fleet.nodes:
                node.gossip.versions = lambda name=node.id: {
                    PREFIX: versions.get(name, 0)
                }
                node.gossip.seeks_versions = partial(is_refused, node)
            await asyncio.sleep(8)
            worst = 0.0
            for version in range(1, CHANGES + 1):
                for node in fleet.nodes:
                    if not is_refused(node):
                        learn(node, versions, version)
                worst = max(worst, await wait_until_heard(fleet, versions, version))
                await asyncio.sleep(5)
            assert worst < HEARD_WITHIN

        run_virtually(test())


def is_refused(node: Node) -> bool:
    return node.table.own.failure_domain == REFUSED


def learn(node: Node, versions: dict[str, int], version: int) -> None:
    versions[node.id] = version
    node.gossip.config_version = version


async def wait_until_heard(
    fleet: Fleet, versions: dict[str, int], version: int
) -> float:
    """Let each host that hears of a version have it; return how long all took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    waiting = [node for node in fleet.nodes if is_refused(node)]
    while waiting:
        for node in list(waiting):
            rows = node.roster.linked()
            if any(row.versions_by_prefix.get(PREFIX, 0) >= version for row in rows):
                learn(node, versions, version)
                waiting.remove(node)
        await asyncio.sleep(0.05)
    return loop.time() - began
