"""Server sockets of the proxy that refuse connections while the process behind them does."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.interfaces import IReactorTime, ITCPTransport
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from onyxspoke.soak.proxy import ProxyLink

#: How often a target that is away is looked for, in seconds.
LOOK_SECONDS = 0.05


class _Probe(Protocol):
    def connectionMade(self) -> None:
        """End the connection at once; called by Twisted."""
        cast("ITCPTransport", self.transport).abortConnection()


class FollowedTarget:
    """Opens the socket of a link once its target is there, and closes it once that refuses.

    So a process that has ended refuses connections through the proxy, too.  While the link is cut
    for any host the socket stays open: behind a cut nothing tells that a process has ended.

    Parameters
    ----------
    reactor : IReactorTime
        Timers.
    link : ProxyLink
        The link.
    listen, connect : callable
        Open the server socket, and a connection to the target.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        link: ProxyLink,
        listen: Callable[[ProxyLink], Any],
        connect: Callable[..., Any],
    ) -> None:
        self._reactor = reactor
        self._link = link
        self._listen = listen
        self._connect = connect
        self._port: Any = None
        link.before_end = self._look_before

    def start(self) -> None:
        """Look for the target from now on."""
        self._look(self._again)

    def _again(self) -> None:
        if self._port is None:
            self._reactor.callLater(LOOK_SECONDS, self.start)

    def _look_before(self, go_on: Callable[[], None]) -> None:
        """Look whether the target still takes connections, then go on."""
        self._look(go_on)

    def _look(self, go_on: Callable[[], None]) -> None:
        attempt = self._connect(self._link.plan, Factory.forProtocol(_Probe), "")
        attempt.addCallbacks(lambda _probe: self._open(), self._close)
        attempt.addCallback(lambda _none: go_on())

    def _open(self) -> None:
        if self._port is None:
            self._port = self._listen(self._link)

    def _close(self, failure: Failure) -> None:
        if not failure.check(RefusedError) or self._port is None or self._link.has_cut:
            return
        port, self._port = self._port, None
        port.stopListening()
        self._reactor.callLater(LOOK_SECONDS, self.start)
