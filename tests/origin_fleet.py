"""Hosts that share the origins of answers over simulated datagrams, in virtual time."""

import asyncio
import contextlib
import random
from collections.abc import Iterable, Sequence
from datetime import timedelta
from functools import partial

import attrs

from passtally.backed_up_origins import BackedUpOrigins
from passtally.generation import Generation, GenerationRequest
from passtally.known_versions import KnownVersions
from passtally.messages import MemberRow
from passtally.metrics import NoMetrics
from passtally.object_store import ConflictError, UnavailableError
from passtally.objects import Endpoint, Service, ServiceKind
from passtally.origin import KnownAnswer, Origin, OriginRule
from passtally.origin_backup import OriginBackup, OriginBackupWriter
from passtally.origin_exchange import OriginExchange
from passtally.origin_keepers import OriginKeepers
from passtally.origin_lookup import OriginLookup, UnknownOriginError
from passtally.seen_versions import SeenVersions
from passtally.version_records import VersionRecord, VersionRecords
from tests.datagram_network import DatagramNetwork
from tests.fakes import make_catalog
from tests.gossip_fleet import Fleet

WORKSPACE, SERVICE = "w", "s"
VERSIONS = ("v1", "v2")


class VersionStoreFake:
    """The records of versions of a store that takes writes, unless it refuses.

    Attributes:
        versions_by_service: The records.
        history: The versions in its history; None if it does not reach back far enough.
        is_refusing: Whether it refuses to create and replace records.
        running: For how long the oldest endpoint has run, by its entry; None if the
            store doesn't answer.
        calls: Number of calls received.
        lineage: Its address and era.
        late_writes: Number of further writes that get no answer.
        read_timeout: Time after which a look-up of a record fails; None if it doesn't.
    """

    def __init__(self) -> None:
        self.read_timeout: timedelta | None = None
        self.versions_by_service: dict[str, frozenset[str]] = {}
        self.history: frozenset[str] | None = None
        self.is_refusing = False
        self.running: timedelta | None = timedelta(hours=1)
        #: The services whose record was written before a restore of the store.
        self.outdated: set[str] = set()
        self.calls = 0
        self.lineage = 0
        self.late_writes = 0
        self._revision = 0
        self._revisions_by_service: dict[str, int] = {}
        self._unanswered: list[tuple[str, frozenset[str], int]] = []

    def put(self, service: str, versions: Iterable[str]) -> None:
        """Replace a record, as by another host."""
        self._revision += 1
        self._revisions_by_service[service] = self._revision
        self.versions_by_service[service] = frozenset(versions)
        self.outdated.discard(service)

    async def find(self, service: str) -> VersionRecord | None:
        self.calls += 1
        if self.read_timeout is not None:
            await asyncio.sleep(self.read_timeout.total_seconds())
            raise UnavailableError("no answer", step="list", peer="store")
        return self._find(service)

    async def create(self, service: str, versions: Iterable[str]) -> VersionRecord:
        self._count()
        if service not in self.versions_by_service:
            self.put(service, versions)
        return self._find(service)

    def _find(self, service: str) -> VersionRecord | None:
        if service not in self.versions_by_service:
            return None
        return VersionRecord(
            versions=self.versions_by_service[service],
            revision=self._revisions_by_service.get(service, 0),
            is_current=service not in self.outdated,
        )

    async def replace(
        self, service: str, versions: Iterable[str], *, revision: int
    ) -> None:
        self._count()
        if self.late_writes:
            self.late_writes -= 1
            self._unanswered.append((service, frozenset(versions), revision))
            raise UnavailableError("no answer", step="replace", peer="store")
        self._replace(service, versions, revision)

    async def carry_out_late_writes(self) -> None:
        """Carry out the writes that got no answer, if their condition holds."""
        for service, versions, revision in self._unanswered:
            with contextlib.suppress(ConflictError):
                self._replace(service, versions, revision)

    def _replace(self, service: str, versions: Iterable[str], revision: int) -> None:
        if revision != self._revisions_by_service.get(service, 0):
            raise ConflictError("status 409", step="replace", peer="store")
        self.put(service, versions)

    async def list_past(self, service: str) -> frozenset[str]:
        self.calls += 1
        if self.history is None:
            raise UnavailableError("too old", step="watch", peer="store")
        return self.history

    async def served_before(
        self, service: str, version: str, *, ago: timedelta
    ) -> bool:
        self.calls += 1
        if self.running is None:
            raise UnavailableError("status 503", step="list", peer="store")
        return self.running >= ago

    def _count(self) -> None:
        self.calls += 1
        if self.is_refusing:
            raise UnavailableError("status 404", step="create", peer="store")


class OriginBackupStoreFake:
    """The backups of origins in a store.

    Attributes:
        backups_by_host: The backups.
        is_refusing: Whether it refuses all calls.
        calls: Number of calls received.
        lineage: Its address and era.
        late_writes: Number of further replacements that get no answer.
        list_seconds: Duration of a listing.
    """

    def __init__(self) -> None:
        self.backups_by_host: dict[str, OriginBackup] = {}
        self.is_refusing = False
        self.calls = 0
        self.lineage = 0
        self.late_writes = 0
        self.list_seconds = 0.0
        self._revision = 0
        self._unanswered: list[OriginBackup] = []

    async def list_all(self) -> list[OriginBackup]:
        self._count()
        # All callers of a moment wait for the same listing.
        await asyncio.sleep(self.list_seconds)
        return list(self.backups_by_host.values())

    async def create(self, backup: OriginBackup) -> OriginBackup:
        self._count()
        if backup.host_id not in self.backups_by_host:
            self.put(backup)
        return self.backups_by_host[backup.host_id]

    async def replace(self, backup: OriginBackup) -> OriginBackup:
        self._count()
        if self.late_writes:
            self.late_writes -= 1
            self._unanswered.append(backup)
            raise UnavailableError("no answer", step="replace", peer="store")
        return self._replace(backup)

    async def carry_out_late_writes(self) -> None:
        """Carry out the writes that got no answer, if their condition holds."""
        for backup in self._unanswered:
            with contextlib.suppress(ConflictError):
                self._replace(backup)

    def put(self, backup: OriginBackup) -> OriginBackup:
        """Store a backup, whatever its revision."""
        self._revision += 1
        stored = attrs.evolve(backup, revision=self._revision)
        self.backups_by_host[backup.host_id] = stored
        return stored

    def _replace(self, backup: OriginBackup) -> OriginBackup:
        known = self.backups_by_host.get(backup.host_id)
        if known is None or known.revision != backup.revision:
            raise ConflictError("status 409", step="replace", peer="store")
        return self.put(backup)

    def _count(self) -> None:
        self.calls += 1
        if self.is_refusing:
            raise UnavailableError("status 503", step="call", peer="store")


class OriginFleet:
    """Hosts with gossip, and before them endpoints of some software versions."""

    def __init__(
        self,
        *,
        hosts: int,
        domains: int = 3,
        loss: float = 0.0,
        versions: Sequence[str] = VERSIONS,
    ) -> None:
        self.gossip = Fleet(hosts=hosts, domains=domains, loss=loss)
        self.rng = random.Random(hosts)
        self.network = DatagramNetwork(self.gossip)
        self.exchanges_by_id: dict[str, OriginExchange] = {}
        self.lookups_by_id: dict[str, OriginLookup] = {}
        self.is_current = True
        #: The hosts that receive changes; None if all of them do while is_current.
        self.current_ids: set[str] | None = None
        #: The hosts that the store does not answer, although they may not know it yet.
        self.cut_ids: set[str] = set()
        #: The versions in the changes of endpoints that no host has received yet.
        self.missed_versions: frozenset[str] = frozenset()
        self.store = VersionStoreFake()
        self.backups = OriginBackupStoreFake()
        self.writers_by_id: dict[str, OriginBackupWriter] = {}
        self.records_by_id: dict[str, VersionRecords] = {}
        self.catalog = make_catalog(
            [Service(id=SERVICE, kind=ServiceKind.MODEL, model="m", version="1")],
            [
                Endpoint(
                    id=f"e{number}",
                    service=SERVICE,
                    url=f"http://10.9.0.{number}:1",
                    failure_domain="d0",
                    software=software,
                )
                for number, software in enumerate(versions)
            ],
        )

    def start(self, rows: Sequence[MemberRow], *, life: int = 1) -> None:
        """Start hosts; a host that ran before has lost all that it knew."""
        self.gossip.start(rows, life=life)
        for row in rows:
            node = self.gossip.nodes_by_address[row.address]
            seen = SeenVersions()
            records = self.records_by_id[node.id] = VersionRecords(
                store=self.store,
                seen=seen,
                clock=self.gossip.clock,
                is_writer=lambda: True,
            )
            keepers = OriginKeepers(members=node.roster)
            rule = OriginRule(catalog=self.catalog)
            datagrams = self.network.add(node)
            versions = KnownVersions(
                catalog=self.catalog,
                seen=seen,
                records=records,
                clock=self.gossip.clock,
                is_current=partial(self._receives_changes, node.id),
                find_changed=partial(self._find_changed, node.id),
                has_others=lambda: True,
                keepers=keepers,
            )
            backups = BackedUpOrigins(store=self.backups, clock=self.gossip.clock)
            exchange = OriginExchange(
                keepers=keepers,
                datagrams=datagrams,
                catalog=self.catalog,
                rule=rule,
                versions=versions,
                backups=backups,
                clock=self.gossip.clock,
            )
            self.exchanges_by_id[node.id] = exchange
            self.lookups_by_id[node.id] = OriginLookup(
                table=exchange.table,
                keepers=keepers,
                datagrams=datagrams,
                rule=rule,
                versions=versions,
                backups=backups,
                clock=self.gossip.clock,
                metrics=NoMetrics(),
            )
            self.writers_by_id[node.id] = OriginBackupWriter(
                store=self.backups,
                host_id=node.id,
                clock=self.gossip.clock,
                take_origins=exchange.take_origins,
                count_hosts=lambda: len(self.gossip.rows),
            )
            exchange.renew()

    async def _find_changed(self, host_id: str, service: str) -> frozenset[str]:
        if host_id in self.cut_ids or not self._receives_changes(host_id):
            raise UnavailableError("no answer", step="watch", peer="store")
        return self.missed_versions

    def _receives_changes(self, host_id: str) -> bool:
        return self.is_current and (
            self.current_ids is None or host_id in self.current_ids
        )

    def stop(self, rows: Sequence[MemberRow]) -> None:
        """Kill hosts."""
        self.gossip.stop(rows)
        for row in rows:
            del self.exchanges_by_id[row.host_id]
            del self.lookups_by_id[row.host_id]

    def begin(self, host_id: str, request_id: str, *, version: str = "") -> str:
        """Begin a stream at a host, as before its first event; return its version."""
        version = version or self.rng.choice(VERSIONS)
        generation = self.make_generation(request_id, version)
        exchange = self.exchanges_by_id[host_id]
        with exchange.running(generation, first_id=request_id) as answer:
            generation.start_attempt(f"e{VERSIONS.index(version)}")
            exchange.tell(answer)
        return version

    def make_generation(self, request_id: str, version: str) -> Generation:
        """Return an answer that began at a version."""
        return Generation(
            request=GenerationRequest(
                id=request_id,
                workspace=WORKSPACE,
                service=SERVICE,
                model="m",
                prompt="p",
                max_tokens=9,
            ),
            origin=Origin(software=version),
        )

    async def find(self, host_id: str, first_id: str) -> str | None:
        """Return the version that a host finds for a stream, or None."""
        known = await self.find_answer(host_id, first_id)
        return None if known is None else known.origin.software

    async def find_answer(
        self, host_id: str, first_id: str, *, prompt: str = ""
    ) -> KnownAnswer | None:
        """Return what a host finds for a stream, or None."""
        try:
            return await self.lookups_by_id[host_id].find(
                workspace=WORKSPACE,
                service=SERVICE,
                first_id=first_id,
                request_id=f"{first_id}-again",
                prompt=prompt,
            )
        except UnknownOriginError:
            return None

    async def count_known(
        self, versions_by_id: dict[str, str], hosts: Sequence[str]
    ) -> int:
        """Return for how many streams random hosts find the version; none is wrong."""
        found = await asyncio.gather(
            *(self.find(self.rng.choice(hosts), name) for name in versions_by_id)
        )
        pairs = list(zip(found, versions_by_id.values(), strict=True))
        assert all(version in (None, expected) for version, expected in pairs)
        return sum(version is not None for version in found)
