"""At-most-once execution of unrepeatable requests that carry an idempotency key.

An entry appends an intent to the log and dispatches the request only after reading the
intent back.  The order of the log decides which entry holds the key and runs its request;
every other entry asks the holder for the answer.
"""

from __future__ import annotations

import xxhash

from onyxspoke.core.actions import QueryKeyHolder
from onyxspoke.core.codes import OutcomeKind, ResultCode
from onyxspoke.core.context import EntryContext
from onyxspoke.core.key_run_store import KeyRun, KeyWaiter
from onyxspoke.core.log_records import KeyIntent, KeyRelease
from onyxspoke.core.request_dispatcher import RequestDispatcher
from onyxspoke.core.requests import ActiveRequest, PeerOrigin, RequestState
from onyxspoke.core.schema import Answer, EntryId, TaskRequest


def fingerprint_of(request: TaskRequest) -> int:
    """Return a hash that distinguishes different requests under the same key."""
    digest = xxhash.xxh3_64()
    for part in (request.tenant, request.task_class.service, request.task_class.name):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.payload)
    return digest.intdigest()


def scoped_key(request: TaskRequest) -> str:
    """Return the key as recorded in the log: with its tenant, because tenants share no keys."""
    return f"{request.tenant}/{request.idempotency_key}"


class IdempotencyController:
    """Runs one request for each key and answers repeated requests."""

    def __init__(self, context: EntryContext, dispatcher: RequestDispatcher) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._pending_intents: dict[str, KeyIntent] = {}

    def admit(self, request: ActiveRequest, now: float) -> None:
        """Admit a keyed request: run it, join the run in progress, or repeat the answer."""
        key = scoped_key(request.request)
        fingerprint = fingerprint_of(request.request)
        run = self._context.key_runs.get(key)
        if run is not None:
            self._join(request, run, fingerprint, now)
            return
        entry = self._context.cell.keys.get(key)
        if entry is not None and entry.fingerprint != fingerprint:
            self._refuse(request, ResultCode.KEY_REUSED, now)
        elif entry is not None:
            self._ask_holder(request, key, entry.holder, now)
        elif self._context.log_is_down(now):
            self._refuse(request, ResultCode.KEY_STATE_UNKNOWN, now)
        else:
            self._record_intent(request, key, fingerprint)

    def handle_intent_read(self, intent: KeyIntent, now: float) -> None:
        """Run the request of an intent just read back, if this entry holds the key."""
        self._pending_intents.pop(intent.key, None)
        entry = self._context.cell.keys.get(intent.key)
        run = self._context.key_runs.get(intent.key)
        is_holder = entry is not None and entry.holder == self._context.identity.entry_id
        request = None if run is None else self._context.requests.get(run.request_id)
        if request is None:
            self._release_unused_key(intent.key, run, is_holder=is_holder)
        elif is_holder:
            self._dispatcher.place_or_queue(request, now)
        elif entry is not None:
            self._yield_to_holder(request, intent, entry.holder, now)

    def handle_query(self, peer_id: EntryId, request_id: str, key: str) -> Answer | None:
        """Return the answer of a key to a peer, or ``None`` while its run is in progress."""
        run = self._context.key_runs.get(key)
        if run is None:
            return Answer(code=ResultCode.KEY_HOLDER_UNREACHABLE)
        if run.answer is None:
            run.waiters.append(KeyWaiter(request_id, PeerOrigin(peer_id, request_id)))
        return run.answer

    def handle_answer(self, request: ActiveRequest, answer: Answer) -> list[KeyWaiter]:
        """Store the answer of a request that ran under a key; return the other waiters."""
        key = scoped_key(request.request)
        run = self._context.key_runs.get(key)
        if run is None or run.request_id != request.request_id or run.answer is not None:
            return []
        waiters = self._context.key_runs.finish(key, answer)
        if _did_not_run(answer):
            self._release(key)
        return waiters

    def refuse_while_log_is_down(self, now: float) -> None:
        """Refuse the requests whose intent cannot be recorded; this entry did not run them."""
        if not self._pending_intents or not self._context.log_is_down(now):
            return
        for key in list(self._pending_intents):
            run = self._context.key_runs.get(key)
            request = None if run is None else self._context.requests.get(run.request_id)
            if request is not None and request.state is RequestState.WAITING_FOR_LOG:
                self._refuse(request, ResultCode.KEY_STATE_UNKNOWN, now)

    def _record_intent(self, request: ActiveRequest, key: str, fingerprint: int) -> None:
        request.transition(RequestState.WAITING_FOR_LOG)
        self._context.key_runs.begin(key, request.request_id, fingerprint)
        intent = KeyIntent(key, fingerprint)
        self._pending_intents[key] = intent
        self._context.cell_append_queue.add(intent)

    def _join(self, request: ActiveRequest, run: KeyRun, fingerprint: int, now: float) -> None:
        if run.fingerprint != fingerprint:
            self._refuse(request, ResultCode.KEY_REUSED, now)
        elif run.answer is not None:
            self._dispatcher.answer(request, run.answer, now)
        else:
            request.transition(RequestState.WAITING_FOR_HOLDER)
            run.waiters.append(KeyWaiter(request.request_id, request.origin))

    def _ask_holder(self, request: ActiveRequest, key: str, holder: EntryId, now: float) -> None:
        peer = self._context.peers.peers.get(holder)
        request.transition(RequestState.WAITING_FOR_HOLDER)
        if peer is None or not peer.connected:
            self._dispatcher.answer(request, Answer(code=ResultCode.KEY_HOLDER_UNREACHABLE), now)
            return
        request.peer_id = holder
        self._context.emit(QueryKeyHolder(holder, request.request_id, key))

    def _yield_to_holder(
        self, request: ActiveRequest, intent: KeyIntent, holder: EntryId, now: float
    ) -> None:
        entry = self._context.cell.keys[intent.key]
        self._context.key_runs.forget(intent.key)
        if entry.fingerprint != intent.fingerprint:
            self._refuse(request, ResultCode.KEY_REUSED, now)
        else:
            self._ask_holder(request, intent.key, holder, now)

    def _release_unused_key(self, key: str, run: KeyRun | None, *, is_holder: bool) -> None:
        """Release a key whose request was answered before its intent was read back."""
        if run is None or run.answer is None or not _did_not_run(run.answer):
            return
        self._context.key_runs.forget(key)
        if is_holder:
            self._context.cell_append_queue.add(KeyRelease(key))

    def _release(self, key: str) -> None:
        intent = self._pending_intents.get(key)
        if intent is not None and not self._context.cell_append_queue.withdraw(intent):
            return  # The intent was sent already; reading it back releases the key.
        self._pending_intents.pop(key, None)
        self._context.key_runs.forget(key)
        if intent is None:
            self._context.cell_append_queue.add(KeyRelease(key))

    def _refuse(self, request: ActiveRequest, code: ResultCode, now: float) -> None:
        self._dispatcher.answer(request, self._context.refusal(code), now)


def _did_not_run(answer: Answer) -> bool:
    """Return whether an answer shows that this entry did not run the key's request."""
    return answer.outcome is OutcomeKind.NOT_RUN or answer.code is ResultCode.KEY_STATE_UNKNOWN
