"""Stand-ins for the directory of workers, the configuration and the advice service."""

from __future__ import annotations

import random
from collections.abc import Callable

from onyxspoke.core.jobs.model import StepKey, WorkerId
from onyxspoke.core.placement.worker_record import EntryFault, UnusableEntry, WorkerRecord
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult, Ticket
from onyxspoke.kit.jobs.store import FakeStore
from onyxspoke.kit.jobs.timers import Path, Timers
from onyxspoke.ports.configuration import CellConfiguration, ConfigurationError
from onyxspoke.ports.worker_directory import WorkerDirectoryListener

STORE = "store"
POLL_SECONDS = 0.5
#: A question for a later configuration is answered after so long, if there is none, ...
LONG_POLL_SECONDS = 1.0
#: ... and given up so much later.
LONG_POLL_SLACK_SECONDS = 0.6
#: A single read is given up after so long.
LOOK_SECONDS = 0.6


class FakeDirectory:
    """The directory itself."""

    def __init__(self, timers: Timers) -> None:
        self.timers = timers
        self.records: dict[WorkerId, WorkerRecord] = {}
        #: Entries that another writer has damaged.
        self.unusable: dict[WorkerId, UnusableEntry] = {}
        self.watchers: list[FakeDirectoryClient] = []

    def list(self, record: WorkerRecord) -> None:
        """List a worker, or change what is listed."""
        self.records[record.worker_id] = record
        self.unusable.pop(record.worker_id, None)
        for watcher in list(self.watchers):
            watcher.look()

    def damage(self, worker_id: WorkerId, fault: EntryFault) -> None:
        """Have an entry name no worker any more."""
        self.unusable[worker_id] = UnusableEntry(worker_id, fault)
        for watcher in list(self.watchers):
            watcher.look()

    def drop(self, worker_id: WorkerId) -> None:
        """List a worker no longer."""
        self.unusable.pop(worker_id, None)
        if self.records.pop(worker_id, None) is not None:
            for watcher in list(self.watchers):
                watcher.look()


class FakeDirectoryClient:
    """The directory as one node reaches it; implements ``WorkerDirectoryPort``.

    It tells the whole list at every change, and now and then, because the way there may have
    been cut meanwhile.
    """

    def __init__(self, directory: FakeDirectory, path: Path) -> None:
        self._directory = directory
        self._path = path
        self._listener: WorkerDirectoryListener | None = None
        self._generation = 0

    def watch(self, listener: WorkerDirectoryListener) -> None:
        """Begin to report."""
        self._listener = listener
        self._generation += 1
        self._directory.watchers.append(self)
        self._poll(self._generation)

    def stop_watching(self) -> None:
        """Report no more."""
        self._listener = None
        self._generation += 1
        if self in self._directory.watchers:
            self._directory.watchers.remove(self)

    def look(self) -> None:
        """Tell what the directory lists."""
        self._path.to_outside(STORE, self._send_all)

    def _poll(self, generation: int) -> None:
        if generation != self._generation:
            return
        self.look()
        self._directory.timers.schedule(
            POLL_SECONDS, lambda: self._path.to_node("", lambda: self._poll(generation))
        )

    def _send_all(self) -> None:
        unusable = list(self._directory.unusable.values())
        damaged = self._directory.unusable
        records = [
            record
            for worker_id, record in self._directory.records.items()
            if worker_id not in damaged
        ]

        def arrive() -> None:
            if self._listener is not None:
                self._listener.handle_workers_listed(records, unusable, True)

        self._path.to_node(STORE, arrive)


class FakeConfiguration:
    """The configuration itself, kept in the store."""

    def __init__(self, configuration: CellConfiguration, store: FakeStore) -> None:
        self.configuration = configuration
        self.store = store
        self.watchers: list[FakeConfigurationClient] = []

    def put(self, configuration: CellConfiguration) -> None:
        """Put a version in force."""
        self.configuration = configuration
        for watcher in self.watchers:
            watcher.send()


class FakeConfigurationClient:
    """The configuration as one node reaches it; implements ``ConfigurationPort``."""

    def __init__(self, feed: FakeConfiguration, node_name: str, path: Path) -> None:
        self._feed = feed
        self._node_name = node_name
        self._path = path
        self._on_configuration: Callable[[CellConfiguration], None] | None = None
        self._on_contact: Callable[[bool], None] | None = None
        #: How often the newest version was asked for by itself.
        self.looks = 0

    def watch(
        self,
        on_configuration: Callable[[CellConfiguration], None],
        on_contact: Callable[[bool], None],
    ) -> None:
        """Report the configuration and each later version."""
        self._on_configuration = on_configuration
        self._on_contact = on_contact
        self._feed.watchers.append(self)
        self.send()
        self._poll()

    def look(self, on_done: Callable[[bool], None]) -> None:
        """Read the newest version now; without an answer it is given up."""
        store = self._feed.store
        self.looks += 1
        is_over = False

        def arrive() -> None:
            if self._node_name in store.faults.refuses:
                self._path.to_node(STORE, lambda: end(False))
            elif not store.faults.is_down:
                store.timers.schedule(store.faults.extra_seconds, answer)

        def answer() -> None:
            self.send()
            self._path.to_node(STORE, lambda: end(True))

        def end(is_done: bool) -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                on_done(is_done)

        self._path.to_outside(STORE, arrive)
        store.timers.schedule(LOOK_SECONDS, lambda: self._path.to_node("", lambda: end(False)))

    def decode(self, raw: bytes) -> CellConfiguration:
        """Return the configuration that a copy stands for."""
        if raw != self._feed.configuration.raw:
            raise ConfigurationError("not the present version")
        return self._feed.configuration

    def _poll(self) -> None:
        """Tell after each question whether the store answered it; it is asked again then."""
        store = self._feed.store
        is_over = False

        def arrive() -> None:
            if store.faults.is_down:
                return
            if self._node_name in store.faults.refuses:
                self._path.to_node(STORE, lambda: end(False))
                return
            store.timers.schedule(LONG_POLL_SECONDS + store.faults.extra_seconds, answer)

        def answer() -> None:
            if not store.faults.is_down:
                self._path.to_node(STORE, lambda: end(True))

        def end(is_served: bool) -> None:
            nonlocal is_over
            if is_over:
                return
            is_over = True
            self._tell(is_served)
            pause = 0.0 if is_served else POLL_SECONDS
            store.timers.schedule(pause, lambda: self._path.to_node("", self._poll))

        self._path.to_outside(STORE, arrive)
        patience = LONG_POLL_SECONDS + LONG_POLL_SLACK_SECONDS
        store.timers.schedule(patience, lambda: self._path.to_node("", lambda: end(False)))

    def _tell(self, is_served: bool) -> None:
        if self._on_contact is not None:
            self._on_contact(is_served)

    def send(self) -> None:
        """Report the present version."""
        configuration = self._feed.configuration

        def arrive() -> None:
            if self._on_configuration is not None:
                self._on_configuration(configuration)

        self._path.to_node(STORE, arrive)


class FakeAdvice:
    """The advice service: a share of the workers is good for a step, and that never changes."""

    def __init__(
        self, timers: Timers, good_share: float, seconds: float, always_good: tuple[str, ...] = ()
    ) -> None:
        self.timers = timers
        self.good_share = good_share
        #: Beginnings of names of workers that are good for every step, so that each has room.
        self.always_good = always_good
        self.seconds = seconds
        self.validity_ms = 1_500.0

    def is_good(self, step: StepKey, worker_id: WorkerId) -> bool:
        """Return whether a worker may run a step."""
        if worker_id.startswith(self.always_good):
            return True
        return random.Random(f"{step}/{worker_id}").random() < self.good_share


class FakeAdviceClient:
    """The service as one node reaches it; implements ``AdvicePort``."""

    def __init__(self, service: FakeAdvice, path: Path) -> None:
        self._service = service
        self._path = path
        self._free_at = 0.0

    def ask(
        self,
        step: StepKey,
        worker_ids: tuple[WorkerId, ...],
        on_result: Callable[[AdviceResult], None],
    ) -> None:
        """Ask which of the workers may run a step; calls of one node wait for each other."""
        service = self._service
        now = service.timers.now()
        self._free_at = max(self._free_at, now) + service.seconds
        good = [worker_id for worker_id in worker_ids if service.is_good(step, worker_id)]
        tickets = [Ticket(worker_id, f"{step}") for worker_id in good]
        result = AdviceResult(AdviceOutcome.ANSWERED, tickets, service.validity_ms)

        def answer() -> None:
            self._path.to_node("advice", lambda: on_result(result))

        self._path.to_outside(
            "advice", lambda: service.timers.schedule(self._free_at - now, answer)
        )
