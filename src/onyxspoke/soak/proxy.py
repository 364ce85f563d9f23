"""A loopback proxy whose links delay, reset, fall silent, or pass nothing one way for a while."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, cast

import msgspec
from absl import logging
from twisted.internet.interfaces import IReactorTime, ITCPTransport
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from onyxspoke.node.settings import Address
from onyxspoke.soak.events import AnyCommand, LinkMode, StrikeLinks

#: A link that delays passes each piece so much later, in seconds.
DELAY_SECONDS = 0.3


class LinkPlan(msgspec.Struct, frozen=True):
    """One link: what connects to ``listen`` reaches ``target``, from the host ``source``."""

    name: str
    listen: Address
    target: Address
    source: str = ""


class _Direction:
    """Pieces of one connection on their way in one direction, in their order."""

    def __init__(self, reactor: IReactorTime, link: ProxyLink, cut: LinkMode) -> None:
        self._reactor = reactor
        self._link = link
        self._cut = cut
        self._pieces: deque[bytes | None] = deque()
        self._passing = 0
        self._due_at = 0.0
        #: Where pieces go, once the other side is there.
        self.to: ITCPTransport | None = None
        self.is_silent = False

    def send(self, piece: bytes | None) -> None:
        """Take a piece; ``None`` ends the connection behind those before it."""
        if self.is_silent:
            return
        self._pieces.append(piece)
        if self._link.has(self._cut):
            return
        now = self._reactor.seconds()
        delay = DELAY_SECONDS if self._link.has(LinkMode.DELAY) else 0.0
        self._due_at = max(self._due_at, now + delay)
        if self._due_at <= now:
            self.flush()
        else:
            self._reactor.callLater(self._due_at - now, self._pass_one)

    def flush(self) -> None:
        """Pass everything on, unless the way is cut."""
        while self._pieces and self.to is not None and not self._link.has(self._cut):
            self._write(self._pieces.popleft())

    def _pass_one(self) -> None:
        if self._pieces and self.to is not None and not self._link.has(self._cut):
            self._write(self._pieces.popleft())

    def _write(self, piece: bytes | None) -> None:
        assert self.to is not None
        if piece is None:
            self.to.loseConnection()
        else:
            self.to.write(piece)


class _Pair:
    """A connection to the proxy and the one from it."""

    def __init__(self, reactor: IReactorTime, link: ProxyLink) -> None:
        self._link = link
        self.out = _Direction(reactor, link, LinkMode.CUT_OUT)
        self.back = _Direction(reactor, link, LinkMode.CUT_BACK)

    def reset(self) -> None:
        """Reset both sides."""
        for direction in (self.out, self.back):
            if direction.to is not None:
                direction.to.abortConnection()

    def fall_silent(self) -> None:
        """Pass nothing more, and say nothing of it."""
        self.out.is_silent = self.back.is_silent = True

    def flush(self) -> None:
        """Pass on what waited."""
        self.out.flush()
        self.back.flush()


class _Side(Protocol):
    """One of the two connections: what comes goes ``onward``, it takes what is ``inward``."""

    def __init__(self, onward: _Direction, inward: _Direction, on_made: Callable[[], None]) -> None:
        self._onward = onward
        self._inward = inward
        self._on_made = on_made

    def connectionMade(self) -> None:
        """Take what waited for this side; called by Twisted."""
        transport = cast("ITCPTransport", self.transport)
        transport.setTcpNoDelay(True)
        self._inward.to = transport
        self._on_made()
        self._inward.flush()

    def dataReceived(self, data: bytes) -> None:
        """Pass data on; called by Twisted."""
        self._onward.send(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Pass the end on; called by Twisted."""
        self._inward.to = None
        self._onward.send(None)


class ProxyLink(Factory):
    """One link and its connections."""

    def __init__(self, reactor: IReactorTime, plan: LinkPlan, connect: Callable[..., Any]) -> None:
        self.plan = plan
        self._reactor = reactor
        self._connect = connect
        self._modes: list[LinkMode] = []
        self._pairs: dict[_Pair, None] = {}

    def has(self, mode: LinkMode) -> bool:
        """Return whether the link is struck so."""
        return mode in self._modes

    def strike(self, mode: LinkMode, seconds: float) -> None:
        """Strike the link, and heal it later where that takes time."""
        if mode is LinkMode.RESET:
            for pair in list(self._pairs):
                pair.reset()
        elif mode is LinkMode.SILENCE:
            for pair in self._pairs:
                pair.fall_silent()
        else:
            self._modes.append(mode)
            self._reactor.callLater(seconds, self._heal, mode)

    def buildProtocol(self, addr: object) -> Protocol:
        """Connect onward; called by Twisted."""
        pair = _Pair(self._reactor, self)
        self._pairs[pair] = None
        return _Side(pair.out, pair.back, partial(self._connect_onward, pair))

    def _connect_onward(self, pair: _Pair) -> None:
        far = Factory.forProtocol(cast("Any", lambda: _Side(pair.back, pair.out, _nothing)))
        attempt = self._connect(self.plan, far)
        attempt.addCallbacks(
            lambda side: self._watch(pair, side), lambda _failure: self._give_up(pair)
        )

    def _watch(self, pair: _Pair, _side: Protocol) -> None:
        self._pairs = {
            item: None
            for item in self._pairs
            if item is pair or item.out.to is not None or item.back.to is not None
        }

    def _give_up(self, pair: _Pair) -> None:
        self._pairs.pop(pair, None)
        pair.back.send(None)

    def _heal(self, mode: LinkMode) -> None:
        self._modes.remove(mode)
        for pair in list(self._pairs):
            pair.flush()


class LinkSwitch:
    """Strikes links by name."""

    def __init__(self, links: Iterable[ProxyLink]) -> None:
        self._links = {link.plan.name: link for link in links}

    def handle_command(self, command: AnyCommand) -> None:
        """Strike the links that a command names."""
        if not isinstance(command, StrikeLinks):
            return
        logging.info("event=links_struck command=%r", command)
        for name in command.names:
            self._links[name].strike(command.mode, command.seconds)


def _nothing() -> None:
    """Do nothing."""
