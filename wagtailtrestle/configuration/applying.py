"""The conditional update behind ``apply``, and how its outcome is determined when the answer is lost.

The declaration is one object whose value carries its generation, the id of the apply
that wrote it and a short history of earlier ids; see ``docs/design/configuration.md``.
"""

import asyncio

from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreConflict, StoreDone, StoreUnavailable, StoreUnknown
from wagtailtrestle.record import record

DECLARATION_KIND = "declarations"
DECLARATION_NAME = "current"
READ_TRIES = 3
SETTLE_TRIES = 6
SETTLE_PAUSE_S = 0.5
# Number of applies in the value's history: 2,500 changes a day are two a minute, so this
# covers many times the few seconds in which an unanswered update is settled.
HISTORY_LENGTH = 32
NO_GENERATION = 0


@record
class Applied:
    """The declaration was accepted as ``generation``."""

    generation: int


@record
class ApplyConflict:
    """Certainly not applied: it conflicts with ``generation``, which the apply ``by`` wrote.

    ``by`` is an apply id, empty when it is not known.
    """

    generation: int
    by: str = ""


@record
class ApplyNotDone:
    """Certainly not applied: the platform could not be reached or refused."""

    detail: str


@record
class ApplyUnknown:
    """The update was sent without an answer, and reading it back did not determine the outcome."""

    detail: str


ApplyOutcome = Applied | ApplyConflict | ApplyNotDone | ApplyUnknown


@record
class Accepted:
    """The declaration that the platform holds.

    Parameters
    ----------
    version : int
        The platform's version of the object; 0 when there is none.
    generation : int
        0 when there is none.
    apply_id, text : str
    applied_at : float
        Unix time, from the clock of the VM that applied it.
    ids_by_generation : dict of int to str
        Recent applies, this one among them.
    """

    version: int
    generation: int
    apply_id: str
    applied_at: float
    text: str
    ids_by_generation: dict


NOTHING_ACCEPTED = Accepted(
    version=0, generation=NO_GENERATION, apply_id="", applied_at=0.0, text="", ids_by_generation={}
)


def accepted_from_value(*, version, value):
    """Build from the object's value; ``None`` if ``apply`` did not write it."""
    try:
        history = {int(item["generation"]): str(item["apply_id"]) for item in value.get("recent", ())}
        return Accepted(
            version=version,
            generation=int(value["generation"]),
            apply_id=str(value["apply_id"]),
            applied_at=float(value["applied_at"]),
            text=str(value["text"]),
            ids_by_generation=history,
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


async def read_accepted(*, store):
    """Read the accepted declaration.

    Returns
    -------
    Accepted or StoreUnavailable
        :data:`NOTHING_ACCEPTED` when there is none yet.
    """
    outcome = await store.get(kind=DECLARATION_KIND, name=DECLARATION_NAME)
    match outcome:
        case StoreAbsent():
            return NOTHING_ACCEPTED
        case StoreDone(version=version, value=value):
            accepted = accepted_from_value(version=version, value=value)
            return accepted or StoreUnavailable(detail="object declarations/current is not a valid declaration")
    return StoreUnavailable(detail=getattr(outcome, "detail", ""))


async def apply(*, store, text, apply_id, clock, base_generation=None):
    """Make ``text`` the declaration by one conditional update.

    Parameters
    ----------
    store : ObjectStore
    text : str
        The complete declaration, already checked.
    apply_id : str
        Unique over all applies; identifies this one when an answer was lost.
    clock : callable
        Returns Unix seconds, which are only recorded.
    base_generation : int, optional
        The generation this text was edited from; a conflict if another is accepted now.

    Returns
    -------
    ApplyOutcome
    """
    base = await _read_base(store, at_least=base_generation or NO_GENERATION)
    if isinstance(base, StoreUnavailable):
        return ApplyNotDone(detail=f"the accepted declaration can't be read: {base.detail}")
    generation = base.generation
    if base is NOTHING_ACCEPTED and base_generation:
        # The platform lost a generation that the operator knows. Routers never go back to a
        # lower one, so generation 1 would be accepted and never be put in force.
        generation = base_generation
    if base_generation is not None and base_generation != generation:
        return ApplyConflict(generation=base.generation, by=base.apply_id)
    update = _Update(store=store, base=base, value=_make_value(base, generation + 1, text, apply_id, clock()))
    return await update.run()


async def _read_base(store, at_least):
    """Read the declaration to update; a read below ``at_least`` may be stale and is repeated."""
    for attempt in range(READ_TRIES):
        if attempt:
            await asyncio.sleep(SETTLE_PAUSE_S)
        base = await read_accepted(store=store)
        if not isinstance(base, StoreUnavailable) and base.generation >= at_least:
            break
    return base


def _make_value(base, generation, text, apply_id, applied_at):
    ids_by_generation = {**base.ids_by_generation, generation: apply_id}
    newest = sorted(ids_by_generation)[-HISTORY_LENGTH:]
    return {
        "generation": generation,
        "apply_id": apply_id,
        "applied_at": applied_at,
        "text": text,
        "recent": [{"generation": number, "apply_id": ids_by_generation[number]} for number in newest],
    }


class _Update:
    """The update of one apply, and the calls that determine its outcome."""

    __slots__ = ("_store", "_base", "_value", "_generation", "_apply_id", "_may_be_applied")

    def __init__(self, *, store, base, value):
        self._store = store
        self._base = base
        self._value = value
        self._generation = value["generation"]
        self._apply_id = value["apply_id"]
        self._may_be_applied = False

    async def run(self):
        """Send the update once; determine its outcome by further calls if no answer came."""
        outcome = await self._send()
        match outcome:
            case StoreDone():
                return Applied(generation=self._generation)
            case StoreUnavailable(detail=detail):
                return ApplyNotDone(detail=detail)
            case StoreUnknown():
                self._may_be_applied = True
                return await self._settle()
        return await self._resolve_conflict()

    async def _send(self):
        if self._base is NOTHING_ACCEPTED:
            return await self._store.create(kind=DECLARATION_KIND, name=DECLARATION_NAME, value=self._value)
        return await self._store.update(
            kind=DECLARATION_KIND, name=DECLARATION_NAME, value=self._value, if_version=self._base.version
        )

    async def _settle(self):
        """Determine whether an update without an answer took effect.

        A read that shows our id proves that it did; a read without it proves nothing, since
        the update may still be in transit. Sending the same conditional update again gives
        proof: at most one of the two can take effect, and once the version has changed,
        neither can.
        """
        detail = ""
        for _ in range(SETTLE_TRIES):
            await asyncio.sleep(SETTLE_PAUSE_S)
            settled = await self._find_own_id()
            if settled is not None:
                return settled
            outcome = await self._send()
            match outcome:
                case StoreDone():
                    return Applied(generation=self._generation)
                case StoreConflict() | StoreAbsent():
                    return await self._resolve_conflict()
            detail = outcome.detail
        return ApplyUnknown(detail=f"no answer, and {SETTLE_TRIES} attempts to read it back failed: {detail}")

    async def _find_own_id(self):
        """Outcome according to the platform's object; ``None`` if that does not determine it."""
        accepted = await read_accepted(store=self._store)
        if isinstance(accepted, StoreUnavailable):
            return None
        return self._outcome_from(accepted)

    def _outcome_from(self, accepted):
        """Outcome according to the apply that the history records under our generation."""
        owner = accepted.ids_by_generation.get(self._generation)
        if owner is None:
            return None
        if owner == self._apply_id:
            return Applied(generation=self._generation)
        return ApplyConflict(generation=accepted.generation, by=accepted.apply_id)

    async def _resolve_conflict(self):
        """Find the apply that our refused update conflicts with, which may be our own earlier attempt.

        A read may be stale and still show our base, so it is repeated until it shows
        which apply got our generation.
        """
        newest = self._generation
        for _ in range(SETTLE_TRIES):
            accepted = await read_accepted(store=self._store)
            if not isinstance(accepted, StoreUnavailable):
                settled = self._outcome_from(accepted)
                if settled is not None:
                    return settled
                newest = max(newest, accepted.generation)
            await asyncio.sleep(SETTLE_PAUSE_S)
        if self._may_be_applied:
            return ApplyUnknown(detail="another apply followed, and the history does not show whether ours came first")
        return ApplyConflict(generation=newest)
