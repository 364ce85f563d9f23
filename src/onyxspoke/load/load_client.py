"""A lean HTTP client for measuring a server: closed loop for rate, open loop for latency."""

from __future__ import annotations

import random
from collections import deque

import msgspec
from hdrh.histogram import HdrHistogram
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.web.http import HTTPClient

from onyxspoke.histograms import make_histogram, percentile_ms, record_seconds
from onyxspoke.net.reactor_clock import BootClock

SUCCESS_STATUS = b"200"


class LoadClientReport(msgspec.Struct, frozen=True):
    """What a measurement saw."""

    completed: int
    failed: int
    seconds: float
    requests_per_second: float
    p50_ms: float
    p99_ms: float


class _Connection(HTTPClient):
    """One kept-alive connection that carries one request at a time."""

    def __init__(self, client: LoadClient) -> None:
        self._client = client
        self._began_at = 0.0
        self._succeeded = False

    def connectionMade(self) -> None:
        """Report for work; called by Twisted."""
        super().connectionMade()
        self._client.handle_idle(self)

    def send(self, request: bytes, began_at: float) -> None:
        """Send one request whose latency counts from ``began_at``."""
        self._began_at = began_at
        self.firstLine = True
        assert self.transport is not None
        self.transport.write(request)

    def handleStatus(self, version: bytes, status: bytes, message: bytes) -> None:
        """Note the status; called by Twisted."""
        self._succeeded = status == SUCCESS_STATUS

    def handleResponse(self, data: bytes) -> None:
        """Finish the exchange; called by Twisted."""
        self._client.handle_response(self, self._began_at, succeeded=self._succeeded)


class LoadClient:
    """Sends one request over and over.

    Parameters
    ----------
    host, port
        The server.
    request : bytes
        The whole HTTP request.
    connections : int
        How many are open at once.
    rate : float or None
        Requests a second at random moments; ``None`` sends the next as one is answered.
    seed : int
        Seeds the arrivals.
    """

    def __init__(
        self,
        host: str,
        port: int,
        request: bytes,
        connections: int,
        rate: float | None,
        seed: int,
    ) -> None:
        self._host = host
        self._port = port
        self._request = request
        self._connections = connections
        self._rate = rate
        self._random = random.Random(seed)
        self._clock = BootClock()
        self._idle: deque[_Connection] = deque()
        self._waiting: deque[float] = deque()
        self._histogram: HdrHistogram = make_histogram()
        self._completed = 0
        self._failed = 0
        self._stopped = False
        self._counting = False

    def run(self, warm_up_seconds: float, seconds: float) -> Deferred[LoadClientReport]:
        """Run and return the report of the time after the warm-up."""
        done: Deferred[LoadClientReport] = Deferred()
        endpoint = TCP4ClientEndpoint(reactor, self._host, self._port)
        factory = Factory.forProtocol(lambda: _Connection(self))
        for _ in range(self._connections):
            endpoint.connect(factory).addErrback(self._handle_connect_failed)
        if self._rate is not None:
            reactor.callLater(0.0, self._arrive, self._clock.now())
        reactor.callLater(warm_up_seconds, self._begin_counting)
        reactor.callLater(warm_up_seconds + seconds, self._finish, done, seconds)
        return done

    def handle_idle(self, connection: _Connection) -> None:
        """Give an idle connection its next request."""
        if self._stopped:
            return
        if self._rate is None:
            connection.send(self._request, self._clock.now())
        elif self._waiting:
            connection.send(self._request, self._waiting.popleft())
        else:
            self._idle.append(connection)

    def handle_response(self, connection: _Connection, began_at: float, *, succeeded: bool) -> None:
        """Count an answer."""
        if self._counting:
            self._completed += succeeded
            self._failed += not succeeded
            record_seconds(self._histogram, self._clock.now() - began_at)
        self.handle_idle(connection)

    def _arrive(self, moment: float) -> None:
        """Make the request that was due at a moment, and those overdue."""
        assert self._rate is not None
        now = self._clock.now()
        while moment <= now:
            if self._idle:
                self._idle.popleft().send(self._request, moment)
            else:
                self._waiting.append(moment)
            moment += self._random.expovariate(self._rate)
        if not self._stopped:
            reactor.callLater(moment - now, self._arrive, moment)

    def _begin_counting(self) -> None:
        self._counting = True

    def _finish(self, done: Deferred[LoadClientReport], seconds: float) -> None:
        self._stopped = True
        self._counting = False
        done.callback(
            LoadClientReport(
                completed=self._completed,
                failed=self._failed,
                seconds=seconds,
                requests_per_second=self._completed / seconds,
                p50_ms=percentile_ms(self._histogram, 50),
                p99_ms=percentile_ms(self._histogram, 99),
            )
        )

    def _handle_connect_failed(self, _failure: object) -> None:
        self._failed += 1
