"""A simulated fleet of targets for one scheduler core, with an exact check of guarantees."""

from collections import deque
from collections.abc import Iterable, Iterator
from itertools import product

from comfreyshelf.commands import (
    AppendRecord,
    Command,
    CommitParts,
    ReleaseParts,
    ReserveParts,
    StopParts,
)
from comfreyshelf.config import Config, Guarantee, Organisation
from comfreyshelf.events import (
    ConfigInForce,
    Event,
    JobClosed,
    JobQueued,
    JobResumed,
    PartEnded,
    PartsReserved,
    ReservationRefused,
    StartRecorded,
    Tick,
    WorkerLost,
    WorkerReported,
)
from comfreyshelf.ids import (
    CallerId,
    DomainId,
    Epoch,
    JobId,
    OrganisationId,
    RackId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.model import (
    Adjacency,
    HeldPart,
    Job,
    PartState,
    Placement,
    Shape,
    Urgency,
    WorkerInfo,
)
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import AttemptStarted, JobFinished
from comfreyshelf.scheduler import Scheduler
from comfreyshelf.topology import find_block

DOMAIN = DomainId("litoral")
MAX_EVENTS = 10_000


def make_worker(index: int, accelerators: int = 4, per_rack: int = 2, per_zone: int = 4):
    zone = ZoneId(f"zone-{index // per_zone}")
    rack = RackId(f"rack-{index // per_rack}")
    return WorkerInfo(TargetId(f"target-{index}"), zone, rack, accelerators, 32, 128, 1)


def make_job(name: str, organisation: str, shape: Shape, **options) -> Job:
    ids = (JobId(name), OrganisationId(organisation), CallerId("caller"))
    options.setdefault("urgency", Urgency.NORMAL)
    return Job(*ids, name, ServiceId("permit"), "model", shape, 1.0, **options)


def make_config(
    version: int, guarantees: dict[str, list[Shape]], scrapped: Iterable[TargetId] = ()
) -> Config:
    organisations = {}
    for name, shapes in guarantees.items():
        organisation = OrganisationId(name)
        organisation_guarantees = tuple(
            Guarantee(organisation, index, shape, DOMAIN) for index, shape in enumerate(shapes)
        )
        organisations[organisation] = Organisation(organisation, guarantees=organisation_guarantees)
    return Config(Version(version), organisations=organisations, scrapped=frozenset(scrapped))


class Fleet:
    """Executes the core's commands at once and feeds the resulting events back to it.

    Checkpoints of jobs in `stuck_checkpoints` never complete. Targets in `refusing_targets` refuse
    reservations.
    """

    def __init__(self, guarantees: dict[str, list[Shape]], workers: Iterable[WorkerInfo]) -> None:
        self.guarantees = guarantees
        self.version = 0
        self.now = 100.0
        self.workers: dict[TargetId, WorkerInfo] = {}
        self.scrapped: frozenset[TargetId] = frozenset()
        self.jobs: dict[JobId, Job] = {}
        self.open_jobs: set[JobId] = set()
        self.parts: dict[tuple[JobId, int], dict[int, tuple[Placement, PartState]]] = {}
        self.stuck_checkpoints: set[JobId] = set()
        self.refusing_targets: set[TargetId] = set()
        self.starts: dict[tuple[JobId, int], AttemptStarted] = {}
        self.commands: list[Command] = []
        self.scheduler = Scheduler(DOMAIN, Epoch(1))
        self.configure()
        for worker in workers:
            self.add_worker(worker)

    def configure(self, scrapped: Iterable[TargetId] = ()) -> None:
        self.version += 1
        self.scrapped = frozenset(scrapped)
        self.feed(ConfigInForce(make_config(self.version, self.guarantees, self.scrapped)))

    def add_worker(self, worker: WorkerInfo) -> None:
        self.workers[worker.target] = worker
        self.feed(WorkerReported(worker))

    def lose_worker(self, target: TargetId) -> None:
        del self.workers[target]
        for held in self.parts.values():
            for part in [part for part, (place, _) in held.items() if place.target == target]:
                del held[part]
        self.feed(WorkerLost(target))

    def submit(self, job: Job) -> None:
        self.jobs[job.id] = job
        self.open_jobs.add(job.id)
        self.feed(JobQueued(job))

    def running(self) -> list[JobId]:
        return sorted({job for (job, _), held in self.parts.items() if held})

    def finish(self, job: JobId) -> None:
        for (name, attempt), held in list(self.parts.items()):
            if name == job:
                self.end_parts(name, attempt, dict(held), PartState.FINISHED)

    def end_parts(self, job, attempt, held, state, checkpointed=False) -> None:
        for part, (place, _) in held.items():
            self.parts.get((job, attempt), {}).pop(part, None)
            self.feed(PartEnded(job, attempt, part, place.target, state, checkpointed=checkpointed))

    def wait(self, seconds: float, step: float = 0.5) -> None:
        for _ in range(int(seconds / step)):
            self.now += step
            self.feed(Tick())

    def takeover(self, first_worker: int) -> None:
        """Replace the core by a new owner's, which learns of open attempts and targets' statuses.

        The statuses arrive in order, beginning with worker number `first_worker`.
        """
        resumed: list[Event] = []
        reports: list[Event] = []
        queued = []
        for job in sorted(self.open_jobs):
            held = [
                (attempt, parts) for (name, attempt), parts in self.parts.items() if name == job
            ]
            held = [(attempt, parts) for attempt, parts in held if parts]
            if not held:
                queued.append(JobQueued(self.jobs[job], max(self.attempts(job), default=0)))
                continue
            attempt, _ = held[-1]
            start = self.starts[(job, attempt)]
            resumed.append(JobResumed(self.jobs[job], attempt, start.placements, start.cell))
        for worker in self.workers.values():
            parts = tuple(
                HeldPart(job, attempt, part, place.mask, state)
                for (job, attempt), held in self.parts.items()
                for part, (place, state) in held.items()
                if place.target == worker.target
            )
            reports.append(WorkerReported(worker, parts))
        first = first_worker % max(1, len(reports))
        reports = reports[first:] + reports[:first]
        config = self.scheduler.config
        self.scheduler = Scheduler(DOMAIN, Epoch(self.scheduler.epoch + 1))
        for event in [ConfigInForce(config), *resumed, *reports, Tick(), *queued]:
            self.feed(event)

    def attempts(self, job: JobId) -> list[int]:
        return [attempt for name, attempt in self.parts if name == job]

    def feed(self, event: Event) -> None:
        pending = deque([event])
        handled = 0
        while pending:
            handled += 1
            assert (
                handled < MAX_EVENTS
            ), f"over {MAX_EVENTS} events: work is preempted and restarted endlessly"
            for command in self.scheduler.handle(pending.popleft(), self.now):
                self.commands.append(command)
                pending.extend(self.execute(command))

    def execute(self, command: Command) -> Iterator[Event]:
        match command:
            case ReserveParts():
                yield self.reserve(command)
            case ReleaseParts():
                for _ in self.held_on(command.job, command.attempt, command.target, remove=True):
                    pass
            case CommitParts():
                held = self.parts[(command.job, command.attempt)]
                for part, (place, _) in held.items():
                    if place.target == command.target:
                        held[part] = (place, PartState.RUNNING)
            case StopParts() if not command.checkpoint or command.job not in self.stuck_checkpoints:
                yield from self.stop(command)
            case AppendRecord(body=AttemptStarted() as body):
                self.starts[(body.job, body.attempt)] = body
                yield StartRecorded(body.job, body.attempt, True)
            case AppendRecord(body=JobFinished() as body):
                self.open_jobs.discard(body.job)
                yield JobClosed(body.job)

    def reserve(self, command: ReserveParts) -> Event:
        target = command.target
        assert target not in self.scrapped, f"reservation on {target}, which is marked as scrap"
        if target in self.refusing_targets:
            reason = RefusalReason.OCCUPIED
            return ReservationRefused(command.job.id, command.attempt, target, reason)
        held = self.parts.setdefault((command.job.id, command.attempt), {})
        for place in command.placements:
            busy = self.used_mask(target, self.jobs)
            assert (
                not busy & place.mask
            ), f"{target}: reserved {place.mask:b} while {busy:b} is in use"
            held[place.part] = (place, PartState.RESERVED)
        cores = sum(
            self.jobs[job].shape.cores
            for (job, _), parts in self.parts.items()
            for place, _ in parts.values()
            if place.target == target
        )
        assert (
            cores <= self.workers[target].cores
        ), f"{target}: parts use {cores} cores of {self.workers[target].cores}"
        return PartsReserved(command.job.id, command.attempt, target)

    def held_on(self, job, attempt, target, remove: bool) -> Iterator[int]:
        held = self.parts.get((job, attempt), {})
        for part in [part for part, (place, _) in held.items() if place.target == target]:
            if remove:
                del held[part]
            yield part

    def stop(self, command: StopParts) -> Iterator[Event]:
        for part in self.held_on(command.job, command.attempt, command.target, remove=True):
            yield PartEnded(
                command.job,
                command.attempt,
                part,
                command.target,
                PartState.STOPPED,
                checkpointed=command.checkpoint,
            )

    def used_mask(self, target: TargetId, jobs: Iterable[JobId]) -> int:
        """Mask of the accelerators of a target that these jobs hold."""
        names = set(jobs)
        mask = 0
        for (job, _), held in self.parts.items():
            for place, _ in held.values():
                if job in names and place.target == target:
                    mask |= place.mask
        return mask

    def unused_guarantees_fit(self) -> bool:
        """Whether all unused guaranteed shapes fit into free and preemptible accelerators.

        The search is exhaustive. Also asserts that each job that uses a guarantee belongs to the
        guarantee's organisation and runs.
        """
        guarantee_users = {}
        for cell in self.scheduler.cell_plan.cells.values():
            if cell.job is not None and not cell.reclaiming:
                assert self.jobs[cell.job].organisation == cell.guarantee.organisation
                assert cell.job in self.running()
                guarantee_users[cell.key] = cell.job
        unreclaimable = {job for job in self.running() if not self.jobs[job].preemptible}
        unreclaimable |= set(guarantee_users.values())
        free = {
            target: (1 << worker.accelerators) - 1 & ~self.used_mask(target, unreclaimable)
            for target, worker in self.workers.items()
            if target not in self.scrapped
        }
        shapes = [
            guarantee.shape
            for guarantee in self.scheduler.config.domain_guarantees(DOMAIN)
            if (guarantee.organisation, guarantee.index) not in guarantee_users
        ]
        shapes.sort(key=lambda shape: (-shape.accelerators, -shape.parts))
        return self._fit(shapes, free)

    def _fit(self, shapes: list[Shape], free: dict[TargetId, int]) -> bool:
        if not shapes:
            return True
        shape, *rest = shapes
        return any(
            self._fit(rest, left)
            for group in self._adjacency_groups(shape.adjacency)
            for left in self._ways_to_place(shape.parts, shape.accelerators, group, free)
        )

    def _adjacency_groups(self, adjacency: Adjacency) -> list[list[TargetId]]:
        groups: dict[object, list[TargetId]] = {}
        for worker in self.workers.values():
            keys = {
                Adjacency.WORKER: worker.target,
                Adjacency.RACK: (worker.zone, worker.rack),
                Adjacency.ZONE: worker.zone,
            }
            groups.setdefault(keys[adjacency], []).append(worker.target)
        return list(groups.values())

    def _ways_to_place(self, parts, accelerators, group, free) -> Iterator[dict[TargetId, int]]:
        """Yield the masks left free by each way to place the parts on the targets of a group."""
        counts = [range(parts + 1) if free.get(target) else range(1) for target in group]
        for split in product(*counts):
            if sum(split) != parts:
                continue
            left = dict(free)
            if all(
                self._take_blocks(left, target, accelerators, count)
                for target, count in zip(group, split, strict=True)
            ):
                yield left

    def _take_blocks(self, left, target, accelerators, count) -> bool:
        for _ in range(count):
            mask = find_block(left[target], accelerators, self.workers[target].accelerators)
            if not mask:
                return False
            left[target] &= ~mask
        return True
