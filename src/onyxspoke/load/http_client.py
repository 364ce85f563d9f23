"""A caller's HTTP client on pooled connections."""

from __future__ import annotations

from typing import Any

import msgspec
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from onyxspoke.net.http import AnswerBody

CONNECT_TIMEOUT_SECONDS = 2.0
MAXIMUM_CONNECTIONS_PER_HOST = 512
HEALTHY_STATUS = 200


class JobReply(msgspec.Struct, kw_only=True):
    """The parts of a job's description that callers use."""

    job_id: str = ""
    state: str = ""
    answer: AnswerBody | None = None


_answer_decoder = msgspec.json.Decoder(AnswerBody)
_job_decoder = msgspec.json.Decoder(JobReply)


@implementer(IBodyProducer)
class BytesProducer:
    """A request body held in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the whole body; called by Twisted."""
        consumer.write(self._body)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:
        """Do nothing: the body is written at once."""

    def resumeProducing(self) -> None:
        """Do nothing: the body is written at once."""

    def stopProducing(self) -> None:
        """Do nothing: the body is written at once."""


class CallerClient:
    """Submits work to one entry's HTTP API."""

    def __init__(self, host: str, port: int) -> None:
        self._base = f"http://{host}:{port}"
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAXIMUM_CONNECTIONS_PER_HOST
        # A repeated submission must be the caller's own decision.
        pool.retryAutomatically = False
        self._pool = pool
        self._agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=pool)

    async def submit(self, path: str, body: bytes, idempotency_key: str) -> AnswerBody:
        """Submit to ``/v1/requests`` or ``/v1/jobs`` and return the answer."""
        headers = Headers({b"content-type": [b"application/json"]})
        if idempotency_key:
            headers.addRawHeader(b"idempotency-key", idempotency_key.encode())
        response = await self._agent.request(
            b"POST", f"{self._base}{path}".encode(), headers, BytesProducer(body)
        )
        return _answer_decoder.decode(await readBody(response))

    async def is_serving(self) -> bool:
        """Return whether the entry's health check succeeds."""
        response = await self._agent.request(b"GET", f"{self._base}/v1/health".encode())
        await readBody(response)
        return bool(response.code == HEALTHY_STATUS)

    async def wait_for_job(self, job_id: str, seconds: float) -> JobReply:
        """Ask for a job, waiting at the entry for its end that long."""
        url = f"{self._base}/v1/jobs/{job_id}?wait={seconds}"
        response = await self._agent.request(b"GET", url.encode())
        return _job_decoder.decode(await readBody(response))

    async def close(self) -> None:
        """Close idle connections."""
        await self._pool.closeCachedConnections()
