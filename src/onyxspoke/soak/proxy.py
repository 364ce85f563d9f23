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
    """One link: what connects to ``listen`` reaches ``target``, from the host ``source``.

    Attributes
    ----------
    keeps_source : bool
        The target is reached from the host that connected.
    refuses_like_target : bool
        Connections are refused while the target's process refuses them.
    """

    name: str
    listen: Address
    target: Address
    source: str = ""
    keeps_source: bool = False
    refuses_like_target: bool = False


class _Strike:
    """A mode in which a link is struck, for all that connects or for some hosts only."""

    def __init__(self, mode: LinkMode, sources: tuple[str, ...]) -> None:
        self.mode = mode
        self._sources = sources

    def meets(self, source: str) -> bool:
        """Return whether what connected from a host is struck."""
        return not self._sources or source in self._sources


class _Direction:
    """Pieces of one connection on their way in one direction, in their order."""

    def __init__(self, reactor: IReactorTime, link: ProxyLink, cut: LinkMode, source: str) -> None:
        self._reactor = reactor
        self._link = link
        self._cut = cut
        self._source = source
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
        if self._is_cut():
            return
        now = self._reactor.seconds()
        delay = DELAY_SECONDS if self._link.has(LinkMode.DELAY, self._source) else 0.0
        self._due_at = max(self._due_at, now + delay)
        if self._due_at <= now:
            self.flush()
        else:
            self._reactor.callLater(self._due_at - now, self._pass_one)

    def flush(self) -> None:
        """Pass everything on, unless the way is cut."""
        while self._pieces and self.to is not None and not self._is_cut():
            self._write(self._pieces.popleft())

    def _pass_one(self) -> None:
        if self._pieces and self.to is not None and not self._is_cut():
            self._write(self._pieces.popleft())

    def _is_cut(self) -> bool:
        return self._link.has(self._cut, self._source) or self._link.has(LinkMode.CUT, self._source)

    def _write(self, piece: bytes | None) -> None:
        assert self.to is not None
        if piece is None:
            self.to.loseConnection()
        else:
            self.to.write(piece)


class _Pair:
    """A connection to the proxy and the one from it."""

    def __init__(self, reactor: IReactorTime, link: ProxyLink, source: str) -> None:
        self.source = source
        #: Whether the connection onward has been begun.
        self.has_begun = False
        self.out = _Direction(reactor, link, LinkMode.CUT_OUT, source)
        self.back = _Direction(reactor, link, LinkMode.CUT_BACK, source)

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

    def __init__(
        self,
        onward: _Direction,
        inward: _Direction,
        on_made: Callable[[], None],
        before_end: Callable[[Callable[[], None]], None],
    ) -> None:
        self._onward = onward
        self._inward = inward
        self._on_made = on_made
        self._before_end = before_end

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
        self._before_end(partial(self._onward.send, None))


class ProxyLink(Factory):
    """One link and its connections.

    Attributes
    ----------
    before_end : callable
        Called as the target ends a connection, with what passes the end on.
    """

    def __init__(self, reactor: IReactorTime, plan: LinkPlan, connect: Callable[..., Any]) -> None:
        self.plan = plan
        self._reactor = reactor
        self._connect = connect
        self._strikes: list[_Strike] = []
        self._pairs: dict[_Pair, None] = {}
        self.before_end: Callable[[Callable[[], None]], None] = _call

    def has(self, mode: LinkMode, source: str) -> bool:
        """Return whether what connected from a host is struck so."""
        return any(strike.mode is mode and strike.meets(source) for strike in self._strikes)

    @property
    def has_cut(self) -> bool:
        """Whether the link is cut for any host."""
        return any(strike.mode is LinkMode.CUT for strike in self._strikes)

    def strike(self, mode: LinkMode, seconds: float, sources: tuple[str, ...] = ()) -> None:
        """Strike the link, and heal it later where that takes time."""
        strike = _Strike(mode, sources)
        met = [pair for pair in self._pairs if strike.meets(pair.source)]
        if mode is LinkMode.RESET:
            for pair in met:
                pair.reset()
        elif mode is LinkMode.SILENCE:
            for pair in met:
                pair.fall_silent()
        else:
            self._strikes.append(strike)
            self._reactor.callLater(seconds, self._heal, strike)

    def buildProtocol(self, addr: object) -> Protocol:
        """Connect onward; called by Twisted."""
        pair = _Pair(self._reactor, self, str(getattr(addr, "host", "")))
        self._pairs[pair] = None
        return _Side(pair.out, pair.back, partial(self._begin, pair), _call)

    def _begin(self, pair: _Pair) -> None:
        """Connect onward once the way is open."""
        if pair.has_begun or self.has(LinkMode.CUT, pair.source):
            return
        pair.has_begun = True
        if pair.back.to is None:
            self._pairs.pop(pair, None)
            return
        far = Factory.forProtocol(
            cast("Any", lambda: _Side(pair.back, pair.out, _nothing, self.before_end))
        )
        attempt = self._connect(self.plan, far, pair.source)
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
        self.before_end(partial(pair.back.send, None))

    def _heal(self, strike: _Strike) -> None:
        self._strikes.remove(strike)
        for pair in list(self._pairs):
            pair.flush()
            self._begin(pair)


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
            self._links[name].strike(command.mode, command.seconds, command.sources)


def _nothing() -> None:
    """Do nothing."""


def _call(function: Callable[[], None]) -> None:
    """Go on at once."""
    function()
