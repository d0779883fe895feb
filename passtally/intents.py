"""Declares, confirms and cancels intents for operators."""

from collections.abc import Mapping
from datetime import timedelta

from passtally.catalog import Catalog
from passtally.config_store import ConfigStore
from passtally.decision import log_decision
from passtally.fleet import Fleet
from passtally.intent import (
    Intent,
    IntentKind,
    IntentState,
    Ledger,
    find_overlap,
    find_stale,
    new_intent_id,
)
from passtally.object_store import ConflictError, PlatformError
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.planner import PlanRefusedError, PlanView, make_plan

RETRY_AFTER = timedelta(seconds=1)


class Intents:
    """Handles operators' requests on intents; the executor runs confirmed ones.

    Args:
        store: The store of intents and of the ledger.
        catalog: The active configuration.
        fleet: The endpoints, for the number of their open requests.
    """

    def __init__(self, *, store: ConfigStore, catalog: Catalog, fleet: Fleet) -> None:
        self._store = store
        self._catalog = catalog
        self._fleet = fleet

    async def declare(self, kind: IntentKind, params: Mapping[str, str]) -> Intent:
        """Make and store a plan; it is executed only once it is confirmed.

        Raises:
            RefusedError: No plan can be made, or the platform is unreachable.
        """
        try:
            plan = make_plan(kind, params, self._view())
        except PlanRefusedError as error:
            raise refuse(
                Code.PLAN_REFUSED, str(error), status=422, step="plan"
            ) from error
        intent = Intent(
            id=new_intent_id(kind),
            kind=kind,
            params=dict(params),
            state=IntentState.PLANNED,
            plan=plan,
        )
        try:
            await self._store.put(intent.key, intent.to_json(), version=0)
        except PlatformError as error:
            raise platform_away(error) from error
        return intent

    async def confirm(self, intent_id: str) -> Intent:
        """Confirm an intent, so that its plan is executed. Repeating the call is safe.

        Raises:
            RefusedError: The plan is stale or in conflict, the intent failed, was
                cancelled or does not exist, or the platform is unreachable.
        """
        try:
            return await self._confirm(intent_id)
        except PlatformError as error:
            raise platform_away(error) from error

    async def cancel(self, intent_id: str) -> Intent:
        """Stop an intent before its next step.

        Raises:
            RefusedError: The intent is done, failed or unknown, or the platform is
                unreachable.
        """
        try:
            while True:
                intent, version = await self._get(intent_id)
                if intent.state in (IntentState.DONE, IntentState.FAILED):
                    raise _ended(intent)
                if intent.state is not IntentState.CANCELLED:
                    intent = intent.after("cancel")
                    try:
                        await self._store.put(
                            intent.key, intent.to_json(), version=version
                        )
                    except ConflictError:
                        continue
                await self._store.change_ledger(lambda ledger: ledger.remove(intent_id))
                return intent
        except PlatformError as error:
            raise platform_away(error) from error

    async def show(self, intent_id: str) -> Intent:
        """Return an intent with its current state.

        Raises:
            RefusedError: The intent does not exist, or the platform is unreachable.
        """
        try:
            intent, _ = await self._get(intent_id)
        except PlatformError as error:
            raise platform_away(error) from error
        return intent

    async def list(self) -> "list[Intent]":
        """Return all intents.

        Raises:
            RefusedError: The platform is unreachable.
        """
        try:
            return await self._store.list_intents()
        except PlatformError as error:
            raise platform_away(error) from error

    async def _confirm(self, intent_id: str) -> Intent:
        intent, version = await self._get(intent_id)
        if intent.state is IntentState.CONFIRMED or intent.state is IntentState.DONE:
            return intent
        if intent.state is not IntentState.PLANNED:
            raise _ended(intent)
        versions = await self._store.versions()
        stale = find_stale(intent.plan, versions)
        if stale:
            raise _stale(intent, stale)
        await self._store.change_ledger(lambda ledger: _add_to_ledger(ledger, intent))
        confirmed = intent.after("confirm")
        try:
            await self._store.put(intent.key, confirmed.to_json(), version=version)
        except ConflictError:
            # Another confirm or a cancel changed the intent since it was read.
            return await self._resolve_conflict(intent_id)
        log_decision(
            "place",
            request=intent.id,
            choice="confirmed",
            reason=f"{intent.kind} was confirmed",
            steps=len(intent.plan.steps),
        )
        return confirmed

    async def _resolve_conflict(self, intent_id: str) -> Intent:
        intent, _ = await self._get(intent_id)
        if intent.state is IntentState.CANCELLED:
            await self._store.change_ledger(lambda ledger: ledger.remove(intent_id))
            raise _ended(intent)
        return intent

    async def _get(self, intent_id: str) -> tuple[Intent, int]:
        found = await self._store.get_intent(intent_id)
        if found is None:
            raise refuse(
                Code.UNKNOWN_INTENT,
                f"There is no intent {intent_id!r}.",
                status=404,
                step="intent",
            )
        return found

    def _view(self) -> PlanView:
        catalog = self._catalog
        streams = {
            endpoint_id: self._fleet.count_streams(endpoint_id)
            for endpoint_id in catalog.endpoints_by_id
        }
        return PlanView(
            services_by_id=dict(catalog.services_by_id),
            endpoints_by_id=dict(catalog.endpoints_by_id),
            workspaces_by_id=dict(catalog.workspaces_by_id),
            versions_by_key=catalog.current_versions(),
            streams_by_endpoint=streams,
        )


def platform_away(error: PlatformError) -> RefusedError:
    """Return the refusal of a call whose outcome at the platform is unknown."""
    return refuse(
        Code.PLATFORM_AWAY,
        f"The platform did not answer; the outcome is unknown, so retry: {error}.",
        status=503,
        step=error.step,
        peer=error.peer,
        outcome=Outcome.UNKNOWN,
        retry_after=RETRY_AFTER,
    )


def _add_to_ledger(ledger: Ledger, intent: Intent) -> Ledger:
    if ledger.has(intent.id):
        return ledger
    conflict = ledger.find_conflict(intent.plan)
    if conflict is not None:
        shared = find_overlap(intent.plan, conflict)
        raise refuse(
            Code.INTENT_CONFLICT,
            f"The active intent {conflict.intent} conflicts in {', '.join(shared)}.",
            status=409,
            step="confirm",
            peer=conflict.intent,
        )
    return ledger.add(intent)


def _stale(intent: Intent, keys: "list[str]") -> RefusedError:
    return refuse(
        Code.PLAN_STALE,
        f"{', '.join(keys)} changed since the plan was made; declare the intent again.",
        status=409,
        step="confirm",
        peer=intent.id,
    )


def _ended(intent: Intent) -> RefusedError:
    return refuse(
        Code.INTENT_ENDED,
        f"{intent.id} is {intent.state}: {intent.reason or 'nothing is left to do'}.",
        status=409,
        step="intent",
        peer=intent.id,
    )
