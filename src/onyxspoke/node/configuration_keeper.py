"""The operator's configuration at a node: the version in force, and copies for peers behind it.

Every node reads the configuration from the store.  One that the store does not serve, or whose
link is too slow for it, gets a copy from its peers.  Copies are compressed: a large configuration
repeats itself, and on a slow link a whole copy would hold up the heartbeats behind it.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable

from absl import logging

from onyxspoke.core.routing import RouteTable
from onyxspoke.core.tenants.keys import KeyRing
from onyxspoke.node.messages import ConfigurationCopy
from onyxspoke.node.peers import PeerLink
from onyxspoke.ports.clock import Clock
from onyxspoke.ports.configuration import (
    CellConfiguration,
    ConfigurationError,
    ConfigurationPort,
)

#: A peer that the store serves is left to read a new version there for so long, in seconds:
#: copies of a large one to every peer would fill a holder's link.
OFFER_SECONDS = 1.0
#: A copy that unpacks to more than this, in bytes, is none; the store takes less in one call.
MAXIMUM_BYTES = 16 * 1024 * 1024

OnConfiguration = Callable[[CellConfiguration], None]


class ConfigurationKeeper:
    """Keeps the version in force and passes it on.

    Parameters
    ----------
    port : ConfigurationPort
        Reads versions from the store, and decodes copies.
    clock : Clock
        Steady time.
    up_links : callable
        Returns a link to each peer.

    Attributes
    ----------
    current : CellConfiguration or None
        The latest version that is known here; versions only rise.
    routes : RouteTable
        Its routes.
    """

    def __init__(
        self, port: ConfigurationPort, clock: Clock, up_links: Callable[[], list[PeerLink]]
    ) -> None:
        self.current: CellConfiguration | None = None
        self.routes = RouteTable([])
        self._port = port
        self._clock = clock
        self._up_links = up_links
        self._listeners: list[OnConfiguration] = []
        self._copy: ConfigurationCopy | None = None
        #: When the version in force was last known to be the newest, in the node's seconds.
        self.proven_at = -math.inf

    @property
    def version(self) -> int:
        """Version in force; 0 while there is none."""
        return self.current.version if self.current is not None else 0

    @property
    def keys(self) -> KeyRing:
        """Callers' keys of the version in force."""
        return self.current.keys if self.current is not None else KeyRing()

    def watch(self, on_contact: Callable[[bool], None]) -> None:
        """Begin to read versions from the store."""

        def note(is_answered: bool) -> None:
            if is_answered:
                self.note_proof(self._clock.now())
            on_contact(is_answered)

        self._port.watch(self.take, note)

    def note_proof(self, moment: float) -> None:
        """The version in force was the newest at some moment."""
        self.proven_at = max(self.proven_at, moment)

    def look(self, on_done: Callable[[bool], None]) -> None:
        """Read the newest version from the store now, and say if that was done."""

        def note(is_done: bool) -> None:
            if is_done:
                self.note_proof(self._clock.now())
            on_done(is_done)

        self._port.look(note)

    def listen(self, listener: OnConfiguration) -> None:
        """Have a listener called with each version."""
        self._listeners.append(listener)

    def take(self, configuration: CellConfiguration) -> None:
        """Take a version, unless a later one is in force."""
        if configuration.version <= self.version:
            return
        self.current = configuration
        self.routes = RouteTable(configuration.routes)
        self._copy = None
        logging.info(
            "event=configuration version=%d routes=%d",
            configuration.version,
            len(configuration.routes),
        )
        for listener in self._listeners:
            listener(configuration)
        for link in self._up_links():
            self.offer_if_behind(link)

    def offer_if_behind(self, link: PeerLink) -> None:
        """Send a copy to a peer that still has not read the version from the store itself."""
        if self.current is None or link.configuration_version >= self.version:
            link.behind_since = None
            return
        now = self._clock.now()
        if link.behind_since is None:
            link.behind_since = now
        if link.can_reach_store and now - link.behind_since < OFFER_SECONDS:
            return
        if self._copy is None:
            self._copy = ConfigurationCopy(zlib.compress(self.current.raw))
        link.configuration_version = self.version
        link.send(self._copy)

    def take_copy(self, link: PeerLink, message: ConfigurationCopy) -> None:
        """A peer sent a copy of a version."""
        try:
            raw = zlib.decompressobj().decompress(message.compressed, MAXIMUM_BYTES)
            configuration = self._port.decode(raw)
        except (zlib.error, ConfigurationError) as error:
            logging.error("event=configuration_copy_unreadable error=%r", str(error))
            return
        link.configuration_version = max(link.configuration_version, configuration.version)
        self.take(configuration)
