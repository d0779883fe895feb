"""Carries out confirmed intents, step by step, on whichever host holds the lease."""

import asyncio
import hashlib
from datetime import timedelta

import attrs

from passtally.catalog import Catalog
from passtally.clock import Clock
from passtally.config_store import ConfigStore
from passtally.decision import log_decision, log_event
from passtally.fleet import Fleet
from passtally.intent import Intent, IntentState, Step, StepKind, StepState
from passtally.lease import LEASE_LENGTH, RENEW_INTERVAL, Lease
from passtally.object_store import ConflictError, PlatformError, StoredObject
from passtally.objects import Endpoint, ServiceKind
from passtally.orders import FencedError, OrderError, Orders

LEASE_KEY = "leases/executor"
STEP_POLL = timedelta(milliseconds=500)
#: An endpoint must stay without requests for this long: hosts learn of a drain
#: within it, also through an outage of their watch.
IDLE_FOR = timedelta(seconds=5)
#: How long an endpoint that does not answer is asked before the step fails.
ORDER_PATIENCE = timedelta(seconds=60)
#: A plain call ends within its time limit; then a drained endpoint is idle.
PLAIN_IDLE_AFTER = timedelta(seconds=35)
#: How long an older holder's order to an endpoint that checks no fence is awaited.
UNFENCED_WAIT = 2 * LEASE_LENGTH
ROLE_TRIES = 3
MAX_RANK = 30


class StepFailedError(Exception):
    """A step that can't be done safely; its intent stops there."""


class LeaseLostError(Exception):
    """This host may no longer act; another one goes on."""


class Executor:
    """Carries out the intents of the ledger while it holds the lease.

    Args:
        host_id: This host's name.
        host_ids: The names of all hosts that may carry out intents.
        store: Where intents are kept.
        catalog: The configuration in force, the ledger included.
        fleet: The endpoints.
        orders: The way to the endpoints' orders.
        lease: The lease.
        clock: The clock.
    """

    def __init__(
        self,
        *,
        host_id: str,
        host_ids: list[str],
        store: ConfigStore,
        catalog: Catalog,
        fleet: Fleet,
        orders: Orders,
        lease: Lease,
        clock: Clock,
    ) -> None:
        self._host_id = host_id
        self._host_ids = host_ids
        self._store = store
        self._catalog = catalog
        self._fleet = fleet
        self._orders = orders
        self._lease = lease
        self._clock = clock
        self._tasks_by_intent: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Look for work, for ever; the lease is held only while there is some."""
        while True:
            if self._catalog.ledger.entries:
                await self._work()
            else:
                await self._lease.release()
            pause = RENEW_INTERVAL if self._lease.is_held else self._pause()
            await self._clock.sleep(pause)

    async def _work(self) -> None:
        if not await self._lease.try_hold():
            return
        for entry in self._catalog.ledger.entries:
            running = self._tasks_by_intent.get(entry.intent)
            if running is None or running.done():
                task = asyncio.create_task(self._carry_out(entry.intent))
                self._tasks_by_intent[entry.intent] = task

    def _pause(self) -> timedelta:
        """Return how long to wait: hosts of a low rank look more seldom."""

        def digest(host: str) -> bytes:
            return hashlib.blake2b(host.encode(), digest_size=8).digest()

        rank = sorted(self._host_ids, key=digest).index(self._host_id)
        return RENEW_INTERVAL * (1 + min(rank, MAX_RANK))

    async def _carry_out(self, intent_id: str) -> None:
        try:
            while await self._advance(intent_id):
                continue
        except LeaseLostError:
            log_event("intent", "Lease lost, stopping.", intent=intent_id)
        except (PlatformError, FencedError) as error:
            log_event("intent", "Paused.", intent=intent_id, why=error)

    async def _advance(self, intent_id: str) -> bool:
        """Do the next step of an intent; return whether there may be more."""
        self._check_lease()
        found = await self._store.get_intent(intent_id)
        is_open = found is not None and found[0].state in (
            IntentState.PLANNED,
            IntentState.CONFIRMED,
        )
        if not is_open:
            await self._store.change_ledger(lambda ledger: ledger.remove(intent_id))
            return False
        intent, version = found
        index = intent.next_step()
        if index is None:
            await self._end(intent, version, "finish", "")
            return False
        try:
            await self._do_step(intent, version, index)
        except StepFailedError as error:
            await self._fail(intent_id, str(error))
            return False
        except ConflictError:
            log_event("intent", "Changed meanwhile, reading again.", intent=intent_id)
        return True

    async def _do_step(self, intent: Intent, version: int, index: int) -> None:
        """Write that a step is begun, do it, write that it is done."""
        if intent.state is IntentState.PLANNED:
            # It is in the ledger: the confirming host died before it wrote so.
            intent = intent.after("confirm")
        begun = attrs.evolve(
            intent.with_step(index, StepState.STARTED),
            holder=self._host_id,
            fence=self._lease.fence,
        )
        version = await self._store.put(begun.key, begun.to_json(), version=version)
        step = begun.plan.steps[index]
        log_decision(
            "place",
            request=intent.id,
            choice=f"{step.kind} {step.endpoint or step.key}",
            reason=step.why,
            step=index + 1,
            fence=self._lease.fence,
        )
        await self._perform(begun, index, step)
        self._check_lease()
        done = begun.with_step(index, StepState.DONE)
        await self._store.put(done.key, done.to_json(), version=version)

    async def _perform(self, intent: Intent, index: int, step: Step) -> None:
        if step.kind is StepKind.PUT:
            await self._put(intent, index, step)
        elif step.kind is StepKind.REMOVE:
            await self._remove(intent, index, step)
        elif step.kind is StepKind.WAIT_IDLE:
            await self._wait_idle(intent, step)
        elif step.kind is StepKind.VERIFY:
            await self._wait_loaded(intent, step)
        elif step.kind is StepKind.LOAD:
            await self._order(intent, step, "load")
        else:
            await self._set_role(intent, step)

    async def _put(self, intent: Intent, index: int, step: Step) -> None:
        value = step.value.encode()
        stored = await self._store.get(step.key)
        if stored is not None and bytes(stored.value) == value:
            return
        version = self._expected_version(intent, index, step, stored)
        try:
            await self._store.put(step.key, value, version=version)
        except ConflictError as error:
            raise _changed(step) from error

    async def _remove(self, intent: Intent, index: int, step: Step) -> None:
        stored = await self._store.get(step.key)
        if stored is None:
            return
        version = self._expected_version(intent, index, step, stored)
        try:
            await self._store.remove(step.key, version=version)
        except ConflictError as error:
            raise _changed(step) from error

    def _expected_version(
        self, intent: Intent, index: int, step: Step, stored: StoredObject | None
    ) -> int:
        """Return the version to write over: the planned one, or this plan's own."""
        if stored is None:
            if intent.plan.versions_by_key.get(step.key, 0):
                raise _changed(step)
            return 0
        earlier = {
            done.value.encode()
            for done in intent.plan.steps[:index]
            if done.key == step.key
        }
        planned = intent.plan.versions_by_key.get(step.key, 0)
        if stored.version != planned and bytes(stored.value) not in earlier:
            raise _changed(step)
        return stored.version

    async def _order(self, intent: Intent, step: Step, kind: str) -> None:
        deadline = self._clock.monotonic() + ORDER_PATIENCE
        while True:
            try:
                await self._orders.send_order(
                    self._find_endpoint(step),
                    kind=kind,
                    value=step.value,
                    fence=self._lease.fence,
                    before_send=self._check_lease,
                )
                return
            except FencedError:
                raise
            except OrderError as error:
                await self._wait_or_fail(intent, deadline, str(error))

    async def _wait_loaded(self, intent: Intent, step: Step) -> None:
        deadline = self._clock.monotonic() + ORDER_PATIENCE
        deadline += 3 * timedelta(seconds=step.seconds)
        while True:
            try:
                report = await self._orders.report(self._find_endpoint(step))
                if step.value in report.loaded:
                    return
                reason = f"{step.endpoint} has not loaded {step.value}"
            except OrderError as error:
                reason = str(error)
            await self._wait_or_fail(intent, deadline, reason)

    async def _set_role(self, intent: Intent, step: Step) -> None:
        """Order a role and verify it.

        An endpoint that checks no fence may still get an order of an older holder:
        after a wait in which that would arrive, its role is looked at again.
        """
        for _ in range(ROLE_TRIES):
            await self._order(intent, step, "role")
            if not self._find_endpoint(step).checks_fencing:
                await self._wait(intent, UNFENCED_WAIT)
            role = await self._read_role(step)
            if role == step.value:
                return
            log_event("intent", "Role was overruled.", peer=step.endpoint, role=role)
        raise StepFailedError(f"{step.endpoint} has the role {role}")

    async def _read_role(self, step: Step) -> str:
        try:
            report = await self._orders.report(self._find_endpoint(step))
        except OrderError as error:
            raise StepFailedError(str(error)) from error
        return report.role

    async def _wait_idle(self, intent: Intent, step: Step) -> None:
        """Wait until no request is left, however long the last one runs."""
        endpoint = self._catalog.endpoints_by_id.get(step.endpoint)
        if endpoint is None:
            return
        service = self._catalog.services_by_id.get(endpoint.service)
        if service is not None and service.kind is ServiceKind.PLAIN:
            await self._wait(intent, PLAIN_IDLE_AFTER)
            return
        idle_since: timedelta | None = None
        while True:
            now = self._clock.monotonic()
            if await self._is_busy(endpoint):
                idle_since = None
            elif idle_since is None:
                idle_since = now
            elif now - idle_since >= IDLE_FOR:
                return
            await self._wait(intent, STEP_POLL)

    async def _is_busy(self, endpoint: Endpoint) -> bool:
        live = self._fleet.find(endpoint.id)
        report = await live.engine.probe() if live is not None else None
        # One that answers nothing for the whole time has no request left either.
        return report is not None and report.running + report.queued > 0

    async def _wait_or_fail(
        self, intent: Intent, deadline: timedelta, reason: str
    ) -> None:
        if self._clock.monotonic() >= deadline:
            raise StepFailedError(reason)
        await self._wait(intent, STEP_POLL)

    async def _wait(self, intent: Intent, duration: timedelta) -> None:
        """Wait within a step, unless the lease is lost or the intent cancelled."""
        until = self._clock.monotonic() + duration
        while self._clock.monotonic() < until:
            self._check_lease()
            if not self._catalog.ledger.has(intent.id):
                raise LeaseLostError
            await self._clock.sleep(min(duration, STEP_POLL))

    def _find_endpoint(self, step: Step) -> Endpoint:
        endpoint = self._catalog.endpoints_by_id.get(step.endpoint)
        if endpoint is None:
            raise StepFailedError(f"{step.endpoint} is gone")
        return endpoint

    def _check_lease(self) -> None:
        if not self._lease.is_held:
            raise LeaseLostError

    async def _fail(self, intent_id: str, reason: str) -> None:
        found = await self._store.get_intent(intent_id)
        if found is not None:
            await self._end(*found, "fail", reason)

    async def _end(self, intent: Intent, version: int, event: str, reason: str) -> None:
        ended = intent.after(event, reason=reason)
        await self._store.put(ended.key, ended.to_json(), version=version)
        await self._store.change_ledger(lambda ledger: ledger.remove(intent.id))
        log_event("intent", f"Ended as {ended.state}.", intent=intent.id, why=reason)


def _changed(step: Step) -> StepFailedError:
    return StepFailedError(f"{step.key} was changed since the plan was made")
