"""The advice service's stand-in behind the platform's wire; its logic is the kit's."""

from __future__ import annotations

import msgspec

from onyxspoke.core.jobs.model import StepKey
from onyxspoke.core.shard.orders import AdviceResult
from onyxspoke.kit.jobs.platform import FakeAdvice, FakeAdviceClient
from onyxspoke.platform.counterpart.answers import HTTP_NOT_FOUND
from onyxspoke.soak.http import Exchange
from onyxspoke.soak.timers import DueTimers, LocalPath

GOOD_SHARE = 0.5
ANSWER_SECONDS = 0.01
#: Workers on which every step may run, so that none waits for good.
ALWAYS_GOOD = ("w0.", "w1.", "w2.", "w3.")


class _Question(msgspec.Struct):
    step: str
    workers: tuple[str, ...]


_decoder = msgspec.json.Decoder(_Question)


class AdviceServer:
    """Answers each machine's calls in turn."""

    def __init__(self, timers: DueTimers) -> None:
        self._service = FakeAdvice(timers, GOOD_SHARE, ANSWER_SECONDS, ALWAYS_GOOD)
        self._clients: dict[str, FakeAdviceClient] = {}

    def handle(self, exchange: Exchange) -> None:
        """Answer a call."""
        if exchange.name != "advise":
            exchange.answer({}, HTTP_NOT_FOUND)
            return
        question = _decoder.decode(exchange.body)
        job_id, repetition, step = question.step.split(".")
        client = self._clients.get(exchange.machine)
        if client is None:
            client = FakeAdviceClient(self._service, LocalPath())
            self._clients[exchange.machine] = client

        def answer(result: AdviceResult) -> None:
            good = [[ticket.worker_id, ticket.text] for ticket in result.tickets]
            exchange.answer({"good": good, "validityMs": result.validity_ms})

        client.ask(StepKey(job_id, int(repetition), int(step)), question.workers, answer)
