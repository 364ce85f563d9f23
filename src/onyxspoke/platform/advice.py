"""Calls to the advice service; implements ``AdvicePort``."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from onyxspoke.core.jobs.model import StepKey, WorkerId
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult, Ticket
from onyxspoke.net.http_client import HttpAnswer, HttpClient, encode_request
from onyxspoke.node.settings import Address
from onyxspoke.platform.unreadable import UNREADABLE_ERRORS

#: The holder gives a call up sooner, by what the queue's policy says that it takes.
CALL_SECONDS = 8.0
_HTTP_OK = 200


class _AdviseBody(msgspec.Struct):
    step: str
    workers: tuple[str, ...]


class _AdviseAnswer(msgspec.Struct, rename="camel"):
    good: list[tuple[str, str]] = []
    validity_ms: float = 0.0


_decoder = msgspec.json.Decoder(_AdviseAnswer)


class AdviceClient:
    """Asks the advice service from this machine."""

    def __init__(self, client: HttpClient, address: Address | None) -> None:
        self._client = client
        self._address = address

    def ask(
        self,
        step: StepKey,
        worker_ids: tuple[WorkerId, ...],
        on_result: Callable[[AdviceResult], None],
    ) -> None:
        """Ask which of the workers may run a step."""
        address = self._address
        if address is None:
            on_result(AdviceResult(AdviceOutcome.NO_ANSWER))
            return
        name = f"{step.job_id}.{step.repetition}.{step.step}"
        request = encode_request(
            "POST",
            "/onyxspoke/advise",
            f"{address.host}:{address.port}",
            msgspec.json.encode(_AdviseBody(name, worker_ids)),
            "Content-Type: application/json\r\n",
        )
        self._client.call(
            address.host,
            address.port,
            request,
            CALL_SECONDS,
            lambda answer: on_result(read_advice(answer)),
        )


def read_advice(answer: HttpAnswer) -> AdviceResult:
    """Return what an answer of the advice service says."""
    if answer.status == 0:
        return AdviceResult(AdviceOutcome.NO_ANSWER)
    if answer.status != _HTTP_OK:
        return AdviceResult(AdviceOutcome.BUSY)
    try:
        body = _decoder.decode(answer.body)
    except UNREADABLE_ERRORS:
        return AdviceResult(AdviceOutcome.NO_ANSWER)
    tickets = [Ticket(worker_id, text) for worker_id, text in body.good]
    return AdviceResult(AdviceOutcome.ANSWERED, tickets, body.validity_ms)
