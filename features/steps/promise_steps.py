"""Steps that run simulated cells under schedules of faults."""

import random
from functools import partial

import msgspec
from behave import then, when
from settings_file_steps import deployment_path

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.scheduler import EntryScheduler
from onyxspoke.core.schema import FencingToken, JobSubmission, TaskRequest
from onyxspoke.core.worker_table import OwnedWorker
from onyxspoke.settings_file import load_settings
from onyxspoke.sim.callers import Callers
from onyxspoke.sim.cell import SimulatedCell
from onyxspoke.sim.explore import run_schedule
from onyxspoke.sim.faults import Fault, FaultInjector, FaultKind
from onyxspoke.sim.operators import RacingOperators
from onyxspoke.sim.promises import PromiseChecker, find_late_starts

HIGHEST_TOKEN = FencingToken(2**60)
EXPLORED_SEEDS = range(1, 41)


class UnfencedWorker(OwnedWorker):
    """Sends every command under a token that no worker refuses."""

    @property
    def token(self):
        return HIGHEST_TOKEN


class WithoutFencing(EntryScheduler):
    def __init__(self, identity, options):
        super().__init__(identity, options)
        self.context.workers.worker_type = UnfencedWorker


class WithoutKeyMemory(EntryScheduler):
    """Runs every keyed request, even if another request holds the key."""

    def __init__(self, identity, options):
        super().__init__(identity, options)
        self.keys.admit = self.dispatcher.place_or_queue


class WithoutLeaseMargin(EntryScheduler):
    """Takes over workers from a holder whose lease is still valid."""

    def __init__(self, identity, options):
        lease_options = msgspec.structs.replace(options.lease, margin_seconds=-4.7)
        super().__init__(identity, msgspec.structs.replace(options, lease=lease_options))


SCHEDULERS_WITHOUT_MECHANISM = {
    "fencing": WithoutFencing,
    "key memory": WithoutKeyMemory,
    "lease margin": WithoutLeaseMargin,
}


def parse_faults(text):
    if text == "none":
        return []
    faults = []
    for part in text.split(";"):
        kind, target, _, at, _, duration = part.split()
        faults.append(Fault(FaultKind(kind), target, float(at), float(duration)))
    return faults


#: Only a command that a paused entry sends late is stopped by fencing alone.
PROVOKING_FAULTS = {
    "fencing": parse_faults(
        "pause_entry_sending sever-1 at 12 for 14; pause_entry_sending stred-2 at 12 for 14"
    ),
}


class Run:
    """A simulated cell under ordinary load, with a checker and the faults of the scenario."""

    def __init__(self, deployment, seed, load_seconds=26.0, rate=20.0):
        self.settings = load_settings(deployment_path(deployment))
        self.cell = SimulatedCell(self.settings, seed)
        self.callers = Callers(self.cell, self.settings.load, random.Random(seed))
        operators = RacingOperators(self.cell, random.Random(seed))
        self.checker = PromiseChecker(self.cell, operators)
        self.cell.start()
        self.cell.time.run_until(4.0)
        self.callers.submit_for(load_seconds, rate)
        operators.submit_for(load_seconds)

    def finish(self, context, until=75.0):
        self.cell.time.run_until(until)
        self.callers.close()
        context.report = self.checker.judge(self.callers.records)
        context.violations = self.checker.violations


@when('the deployment "{name}" runs seed {seed:d} with these faults "{faults}"')
def step_run_faults(context, name, seed, faults):
    settings = load_settings(deployment_path(name))
    result = run_schedule(settings, seed, parse_faults(faults))
    context.report, context.violations = result.report, result.violations


@when('the deployment "{name}" runs the schedule drawn from seed {seed:d}')
def step_run_seed(context, name, seed):
    result = run_schedule(load_settings(deployment_path(name)), seed)
    context.result, context.violations = result, result.violations


@when('the deployment "{name}" runs the schedule drawn from seed {seed:d} again')
def step_run_seed_again(context, name, seed):
    context.again = run_schedule(load_settings(deployment_path(name)), seed)


@then("both runs have the same events")
def step_same(context):
    assert context.result == context.again


@when('seeds are explored for the deployment "{name}" without "{mechanism}"')
def step_explore_without_mechanism(context, name, mechanism):
    settings = load_settings(deployment_path(name))
    context.violations = []
    faults = PROVOKING_FAULTS.get(mechanism)
    for seed in EXPLORED_SEEDS:
        result = run_schedule(settings, seed, faults, SCHEDULERS_WITHOUT_MECHANISM[mechanism])
        if result.violations:
            context.violations = result.violations
            return


@then("a promise is broken")
def step_broken(context):
    assert context.violations, "the exploration found no broken promise"


@then("no promise is broken")
def step_unbroken(context):
    assert context.violations == [], context.violations


@then("at least {count:d} submissions are completed")
def step_completed(context, count):
    assert context.report.completed >= count, context.report.summary()


@when('the entry "{name}" is killed')
def step_kill(context, name):
    context.cell.kill_entry(name)


@then('every worker of the zone "{zone}" is attached by a live entry')
def step_attached(context, zone):
    attached = {
        worker.worker_id
        for entry in context.cell.up_entries()
        for worker in entry.shell.scheduler.context.workers.usable()
    }
    machines = context.cell.settings.machines()
    expected = {machine.worker_id for machine in machines if machine.zone == zone}
    assert expected <= attached, expected - attached


@when('every entry of "{name}" is stopped and replaced in turn under load')
def step_replace_all_entries(context, name):
    run = Run(name, seed=21, load_seconds=60.0)
    faults = [
        Fault(FaultKind.STOP_ENTRY, entry.name, 6.0 + 8.0 * index, 4.0)
        for index, entry in enumerate(run.settings.entries)
    ]
    FaultInjector(run.cell).schedule(faults)
    run.finish(context, until=110.0)
    context.replaced = len({entry.node.name for entry in run.cell.entries.values()})


@then('no caller got the outcome "unknown"')
def step_no_unknown(context):
    assert context.report.unknown == 0, context.report.summary()


@when('a busy worker of "{name}" is listed as leaving')
def step_leaving(context, name):
    run = Run(name, seed=31, rate=60.0)
    context.worker_id = run.settings.machines()[0].worker_id
    context.listed_at = 12.0
    faults = [Fault(FaultKind.LEAVING_WORKER, context.worker_id, context.listed_at, 60.0)]
    FaultInjector(run.cell).schedule(faults)
    run.finish(context)
    context.run = run


@then(
    "the worker gets no new task from {seconds:d} seconds after the machine list shows the change"
)
def step_nothing_new(context, seconds):
    lag = context.run.settings.platform.machine_list_lag_seconds
    cell, worker_id = context.run.cell, context.worker_id
    assert find_late_starts(cell, worker_id, 0.0) > 0, "the worker never started a task"
    listed_for_readers = context.listed_at + lag
    assert find_late_starts(cell, worker_id, listed_for_readers + seconds) == 0


@when('the zone "{zone}" of "{name}" is cut from the platform for {seconds:d} seconds')
def step_cut_platform(context, zone, name, seconds):
    run = Run(name, seed=41)
    context.cut_at = 8.0
    cut = Fault(FaultKind.CUT_ZONES, f"{zone}~platform", context.cut_at, float(seconds))
    FaultInjector(run.cell).schedule([cut])
    run.finish(context)
    context.run, context.zone = run, zone


@then("workers of the zone get new tasks {seconds:d} seconds after the start of the cut")
def step_served(context, seconds):
    machines = context.run.settings.machines()
    names = {machine.worker_id for machine in machines if machine.zone == context.zone}
    started_count = sum(
        find_late_starts(context.run.cell, name, context.cut_at + seconds)
        - find_late_starts(context.run.cell, name, context.cut_at + seconds + 5.0)
        for name in names
    )
    assert started_count > 0, "no task was started in the zone"


RETENTION_FAULTS = (
    "kill_entry sever-1 at 10 for 22; kill_entry juh-2 at 12 for 25; "
    "pause_entry stred-1 at 14 for 20; stop_entry sever-3 at 16 for 20"
)


def run_with_retention(context, name, retention, snapshot_interval):
    settings = load_settings(deployment_path(name))
    platform = settings.platform.model_copy(update={"retention_seconds": retention})
    limits = settings.limits.model_copy(update={"snapshot_interval_seconds": snapshot_interval})
    settings = settings.model_copy(update={"platform": platform, "limits": limits})
    result = run_schedule(settings, 61, parse_faults(RETENTION_FAULTS))
    context.report, context.violations = result.report, result.violations


@when(
    'the log of "{name}" retains {kept:d} seconds '
    "and entries write a snapshot every {every:d} seconds"
)
def step_snapshots(context, name, kept, every):
    run_with_retention(context, name, float(kept), float(every))


@when('the log of "{name}" retains {kept:d} seconds and no entry writes a snapshot')
def step_no_snapshots(context, name, kept):
    run_with_retention(context, name, float(kept), 1e9)


@when('the entry "{entry}" of "{name}" is stopped while the log is unavailable')
def step_stop_without_log(context, entry, name):
    run = Run(name, seed=71, load_seconds=4.0)
    run.cell.time.run_until(20.0)
    run.cell.platform.begin_outage()
    run.cell.stop_entry(entry)
    context.stopped_at = run.cell.time.now()
    context.run, context.entry_name = run, entry


@then("the entry has stopped within {seconds:d} seconds")
def step_has_stopped(context, seconds):
    run = context.run
    run.cell.time.run_until(context.stopped_at + seconds)
    assert run.cell.entries[context.entry_name].stopped


@when("a keyed job is submitted to an entry that cannot reach the log and to one that can")
def step_keyed_job(context):
    run = Run("motor-estudio", seed=81, load_seconds=0.1)
    cell = run.cell
    cell.network.cut("cba-a", "platform")
    # A renewal is now in flight and cannot arrive, so the job's record stays unsent.
    cell.time.run_until(cell.time.now() + 2.0)
    task_class = run.settings.catalog()[("motor-estudio", "deck-build")]
    request = TaskRequest(
        tenant="schools", task_class=task_class, payload=b"{}", idempotency_key="k"
    )
    job = JobSubmission(job_id="job-k", request=request)
    context.answers = {}
    for name in ("cba-a-1", "vmaria-1"):
        save_answer = partial(context.answers.__setitem__, name)
        cell.entries[name].shell.submit_job(job, 8.0, save_answer)
    cell.time.run_until(cell.time.now() + 20.0)


@then("the entry that can reach the log accepts the job")
def step_accepted(context):
    assert context.answers["vmaria-1"].code is ResultCode.ACCEPTED


@then('the entry that cannot reach the log answers "{outcome}" with code {code:d}')
def step_unknown_state(context, outcome, code):
    answer = context.answers["cba-a-1"]
    assert (answer.outcome.value, int(answer.code)) == (outcome, code), answer
