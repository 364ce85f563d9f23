"""Naive models for differential tests: simple, slow and easy to verify by reading."""


class NaiveSettings:
    """Settings in one dictionary; changes are applied one after the other."""

    def __init__(self):
        self.values = {}

    def apply(self, offset, changes):
        for change in changes:
            _, revision = self.values.get((change.path, change.key), (None, 0))
            if revision != change.expected_revision:
                return False
        for change in changes:
            self.values[(change.path, change.key)] = (change.value, offset)
        return True

    def resolve(self, path, key):
        while True:
            value, _ = self.values.get((path, key), (None, 0))
            if value is not None:
                return value
            if not path:
                return None
            path = path.rpartition("/")[0]


class NaiveOwnership:
    """The holder of each worker; a claim fails if worker or holder changed since its read."""

    def __init__(self):
        self.holders = {}
        self.epochs = {}
        self.last_written = {}

    def write(self, offset, writer, claims, releases):
        self.last_written[writer] = offset
        for worker, expected_epoch, holder_offset in claims:
            if self.epochs.get(worker, 0) != expected_epoch:
                continue
            holder = self.holders.get(worker)
            if holder and holder != writer and self.last_written.get(holder) != holder_offset:
                continue
            self.holders[worker] = writer
            self.epochs[worker] = offset
        for worker in releases:
            if self.holders.get(worker) == writer:
                self.holders[worker] = None
                self.epochs[worker] = offset


class NaiveCell:
    """Runs every request immediately, and exactly once for each nonce."""

    def __init__(self, digest_of):
        self._digest_of = digest_of
        self.answers = {}

    def submit(self, nonce, payload):
        self.answers.setdefault(nonce, self._digest_of(payload))
        return self.answers[nonce]


def naive_has_free_capacity(task_class, workers):
    """Return whether any worker has free capacity for a task of the class, by a full scan."""
    for worker in workers:
        if task_class.generations and worker.machine.generation not in task_class.generations:
            continue
        needed, free = task_class.resources, worker.free
        if (
            needed.processors <= free.processors
            and needed.memory_mb <= free.memory_mb
            and needed.accelerators <= free.accelerators
            and needed.slots <= free.slots
        ):
            return True
    return False
