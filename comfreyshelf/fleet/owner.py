"""The owner of the schedule: decides what runs where, from reports and accepted jobs."""

import math
from collections import Counter
from collections.abc import Callable

from comfreyshelf.fleet.book import Entry
from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.durations import Durations
from comfreyshelf.fleet.guarantee import may_borrow, sure_jobs
from comfreyshelf.fleet.jobs import (
    EndKind,
    FleetConfig,
    JobPhase,
    Progress,
    RunNumber,
    TaskName,
    Token,
    full_name,
    split_name,
    step_of,
)
from comfreyshelf.fleet.losses import is_worth, victim_of
from comfreyshelf.fleet.messages import Orders, Report, StartOrder, StopOrder
from comfreyshelf.fleet.placing import Choice, Fleet, Slot
from comfreyshelf.fleet.targets import TargetView, view_of
from comfreyshelf.fleet.work import Active, JobWork, Outlook, Unit
from comfreyshelf.ids import JobId, OrganisationId, TargetId

# Guarantees count as claimed at any moment for this long after the last urgent job.
URGENT_RECENT_S = 8.0
# A new owner, which has not seen what came before, takes guarantees for claimed this long.
TERM_CAUTION_S = 12.0
# Blocked units, most urgent first, for which room is kept while they wait.
KEPT_UNITS = 3
# A run whose progress stands still for this long, and for this share of its estimate, is moved.
STALL_S = 4.0
STALL_SHARE = 0.3

Note = Callable[..., None]


def _silent(event: str, **fields: object) -> None:
    """Stands in for a log where none is wanted."""


class OwnerCore:
    """Decisions of one term of ownership; pure, so that tests drive it with a made-up clock.

    Times called `now` are on the owner's steady clock, `date` is in seconds since the epoch. After
    each batch of events the caller takes `changes()`, stores them, calls `stored()`, and only then
    sends `orders()`.
    """

    def __init__(self, config: FleetConfig, bounds: Bounds, token: Token, now: float) -> None:
        self.config = config
        self.bounds = bounds
        self.token = token
        self.targets: dict[TargetId, TargetView] = {}
        self.jobs: dict[JobId, JobWork] = {}
        self.note: Note = _silent
        self._since = now
        # Runs on targets that have not reported to this owner yet.
        self._unseen: dict[TargetId, list[Active]] = {}
        self._dirty: set[JobId] = set()
        # When the newest urgent job was accepted, in seconds since the epoch.
        self._urgent_at = 0.0
        self._durations = Durations()

    # Jobs

    def load(self, entry: Entry, now: float, date: float) -> None:
        """Take over a job, or take note that it was accepted or cancelled."""
        job = entry.job
        if job is None:
            return
        work = self.jobs.get(job.id)
        if work is None:
            if entry.progress.phase.final:
                return
            progress = Progress(
                entry.progress.phase, dict(entry.progress.tasks), entry.progress.ended_at
            )
            work = JobWork(job, progress, self.config.queue(job.queue), self._durations)
            # Clocks differ: a job that comes in during this term was accepted just now.
            work.accepted_at = date if now > self._since else min(date, job.accepted_at)
            self.jobs[job.id] = work
            for name, task in progress.tasks.items():
                if task.target and not task.done:
                    self._adopt(work, name, now)
        if entry.cancelled and not work.progress.phase.final:
            self._finish(work, JobPhase.CANCELLED, date, "cancelled by its caller")

    def _adopt(self, work: JobWork, name: TaskName, now: float) -> None:
        task = work.progress.tasks[name]
        _, number, _ = step_of(name)
        active = Active(
            work,
            name,
            task.run,
            task.target,
            task.incarnation,
            work.job.steps[number].demand,
            task.machine,
            now,
            written=True,
        )
        view = self.targets.get(task.target)
        if view is None:
            self._unseen.setdefault(task.target, []).append(active)
        else:
            view.active[active.name] = active

    def configure(self, config: FleetConfig) -> None:
        """Put a newer configuration in force."""
        self.config = config
        for work in self.jobs.values():
            work.queue = config.queue(work.job.queue) or work.queue

    # Reports

    def report(self, report: Report, now: float, date: float) -> None:
        """Take in what a target process knows."""
        target = report.announcement.id
        self._replaced(report, now, date)
        view = self.targets.get(target)
        if view is not None and report.incarnation < view.incarnation:
            return
        if view is None or view.incarnation != report.incarnation:
            old = view
            view = view_of(report, now)
            self.targets[target] = view
            if old is not None:
                self._lose(old, date, "its target started again")
            for active in self._unseen.pop(target, []):
                view.active[active.name] = active
            for active in list(view.active.values()):
                if active.incarnation != report.incarnation:
                    self._end(view, active, EndKind.LOST, "", now, date)
            self.note("target joined", target=target, incarnation=report.incarnation)
        if report.announcement.draining and not view.drain_until:
            view.drain_until = now + report.announcement.drain_left_ms / 1000
            view.changed = True
            self.note("target drains", target=target, left_ms=report.announcement.drain_left_ms)
        elif not report.announcement.draining:
            view.drain_until = 0.0
        view.announcement = report.announcement
        view.seen_at = now
        view.report_sent_at = report.sent_at
        if report.gone:
            self._lose(view, date, "its target left")
            del self.targets[target]
            return
        if report.lists_known:
            view.lists_known = True
            self._read_lists(view, report, now, date)

    def _replaced(self, report: Report, now: float, date: float) -> None:
        """A machine that reports a new target has lost the one that it ran before."""
        for view in list(self.targets.values()):
            if view.machine == report.machine and view.id != report.announcement.id:
                if view.incarnation > report.incarnation:
                    continue
                self._lose(view, date, "its machine runs another target")
                del self.targets[view.id]
        for target, runs in list(self._unseen.items()):
            if target != report.announcement.id and runs[0].machine == report.machine:
                self._lose_unseen(target, "its machine runs another target")

    def _lose_unseen(self, target: TargetId, why: str) -> None:
        for active in self._unseen.pop(target):
            active.work.task(active.task).target = TargetId("")
            self._dirty.add(active.work.job.id)
            self.note("run lost", task=active.name, run=active.run, target=target, why=why)

    def _read_lists(self, view: TargetView, report: Report, now: float, date: float) -> None:
        for end in sorted(report.ended, key=lambda row: row.number):
            if end.number > view.processed:
                view.processed = end.number
                view.changed = True
                self._ended(view, end.task, end.run, end.kind, end.checkpoint, now, date)
        for rejection in report.rejected:
            active = view.active.get(rejection.task)
            if active is not None and active.run == rejection.run:
                self.note(
                    "start rejected",
                    task=rejection.task,
                    run=rejection.run,
                    reason=rejection.reason,
                )
                self._end(view, active, EndKind.REJECTED, "", now, date)
        listed = set()
        for row in report.running:
            listed.add(row.task)
            active = view.active.get(row.task)
            if active is None or active.run != row.run:
                view.note_unasked(row)
                continue
            active.observe(row.percent, now, report.sent_at)
            if row.checkpoint:
                for member in active.work.members(active.task):
                    active.work.task(member).checkpoint = row.checkpoint
        for name in [name for name in view.unasked if name not in listed]:
            del view.unasked[name]

    def _ended(
        self,
        view: TargetView,
        name: str,
        run: int,
        kind: EndKind,
        checkpoint: str,
        now: float,
        date: float,
    ) -> None:
        active = view.active.get(name)
        if active is not None and active.run == run:
            self._end(view, active, kind, checkpoint, now, date)
            return
        job, task = split_name(name)
        work = self.jobs.get(job)
        if work is None or kind is not EndKind.DONE or work.progress.phase.final:
            return
        # The run had been given up, but it finished; whatever replaced it stops.
        self.note("late end counts", task=name, run=run, target=view.id)
        self._done(work, task, run, date)

    def _end(
        self,
        view: TargetView,
        active: Active,
        kind: EndKind,
        checkpoint: str,
        now: float,
        date: float,
    ) -> None:
        view.active.pop(active.name, None)
        view.changed = True
        work, task = active.work, active.work.task(active.task)
        task.target = TargetId("")
        self._dirty.add(work.job.id)
        self.note(
            "run ended",
            task=active.name,
            run=active.run,
            target=view.id,
            how=kind.value,
            ran_s=round(now - active.started_at, 2),
            percent=active.percent,
            first_percent=active.first_percent,
            expected_s=round(work.task_s(active.step_number), 1),
        )
        if checkpoint:
            for member in work.members(active.task):
                work.task(member).checkpoint = checkpoint
        lasting = active.step.lasting
        if kind is EndKind.DONE:
            view.succeeded()
            if not active.learned and not task.resumed_from:
                work.learn(active.step_number, now - active.started_at)
            if not lasting:
                self._done(work, active.task, active.run, date)
        elif kind is EndKind.FAILED:
            view.failed(work.job.id, now)
            work.avoid.add(view.id)
            if not lasting:
                self._count_failure(work, active, date)
        if kind is not EndKind.DONE and not work.progress.phase.final:
            self._break_gang(active)

    def _count_failure(self, work: JobWork, active: Active, date: float) -> None:
        occurrence, number, _ = step_of(active.task)
        gang_run = (occurrence, number, active.run)
        if work.job.steps[number].gang:
            if gang_run in work.counted:
                return
            work.counted.add(gang_run)
        failures = max(work.task(name).failures for name in work.members(active.task)) + 1
        for name in work.members(active.task):
            work.task(name).failures = failures
        if work.queue is not None and failures >= work.queue.attempts:
            self._finish(work, JobPhase.FAILED, date, f"{active.name} failed {failures} times")

    def _break_gang(self, active: Active) -> None:
        """Stop the other members of a gang that has lost one."""
        for name in active.work.members(active.task):
            if name != active.task:
                self._stop_task(active.work, name, None)

    def _done(self, work: JobWork, task: TaskName, run: int, date: float) -> None:
        self._dirty.add(work.job.id)
        for name in work.members(task):
            progress = work.task(name)
            progress.done = True
            progress.checkpoint = ""
            # Members of the same run end by themselves; a run that replaced it has to stop.
            if progress.run != run:
                self._stop_task(work, name, None)
        if work.all_done():
            self._finish(work, JobPhase.COMPLETED, date, "all tasks are done")

    def _finish(self, work: JobWork, phase: JobPhase, date: float, why: str) -> None:
        if work.progress.phase.final:
            return
        work.settle(phase, date)
        self._dirty.add(work.job.id)
        self.note(
            "job ended",
            job=work.job.id,
            phase=phase.value,
            why=why,
            took_s=round(date - work.accepted_at, 2),
        )
        for name in list(work.progress.tasks):
            self._stop_task(work, name, None)

    def _stop_task(self, work: JobWork, name: TaskName, now: float | None) -> None:
        """Order the task's run, if there is one, to stop."""
        full = full_name(work.job.id, name)
        for view in self.targets.values():
            active = view.active.get(full)
            if active is not None and active.stop_since is None:
                active.stop_since = now if now is not None else view.seen_at
                view.changed = True
        for runs in self._unseen.values():
            for active in runs:
                if active.name == full and active.stop_since is None:
                    active.stop_since = now if now is not None else self._since

    def _lose(self, view: TargetView, date: float, why: str) -> None:
        """Give up all runs of a target, which can no longer run them."""
        for active in list(view.active.values()):
            self.note("run lost", task=active.name, run=active.run, target=view.id, why=why)
            self._end(view, active, EndKind.LOST, "", view.seen_at, date)

    # Planning

    def plan(self, now: float, date: float) -> None:
        """Give up what has lapsed, move what has to leave, and place what may start."""
        self._give_up(now, date)
        self._expect_ends(now)
        self._move(now)
        kept = 0
        sure_ids = sure_jobs(self.jobs.values(), self.config, date)
        fleet = Fleet(self._slots(now, date, sure_ids))
        headroom = self._headroom(fleet, now, date)
        ranked = sorted(self.jobs.values(), key=lambda w: (w.job.id not in sure_ids, w.order(date)))
        for work in ranked:
            sure = work.job.id in sure_ids
            hopeful = work.outlook(date) is Outlook.IN_TIME
            # Steps of which a task has found no place: their other tasks are equal.
            waiting: set[tuple[int, int]] = set()
            for unit in work.pending(date, self.bounds.early_s):
                wanted = unit.step.demand.accelerators * len(unit.tasks)
                if (unit.occurrence, unit.number) not in waiting:
                    if wanted > headroom and not may_borrow(work, unit, hopeful):
                        why = "guarantees may claim the room"
                    else:
                        why = self._place(fleet, work, unit, sure, now, date)
                    self._note_wait(work, unit, why, date)
                    if not why:
                        headroom -= 0 if sure else wanted
                        continue
                    waiting.add((unit.occurrence, unit.number))
                if kept < KEPT_UNITS and work.priority <= 1 and hopeful:
                    kept += self._keep_room(fleet, unit)

    def _expect_ends(self, now: float) -> None:
        for work in self.jobs.values():
            work.begin_pass()
        for view in self.targets.values():
            for active in view.active.values():
                if active.stop_since is None:
                    active.work.left_s[active.task] = active.left_s(now)

    def _headroom(self, fleet: Fleet, now: float, date: float) -> float:
        """Free accelerators beyond those that guarantees may still claim.

        Guarantees claim nothing while no urgent job has come for URGENT_RECENT_S.
        """
        urgent = [w for w in self.jobs.values() if w.priority == 0]
        self._urgent_at = max([self._urgent_at, *(w.accepted_at for w in urgent)])
        settled = now - self._since > TERM_CAUTION_S
        if settled and date - self._urgent_at > URGENT_RECENT_S:
            return math.inf
        free = sum(slot.free.accelerators for slot in fleet.slots.values())
        used: Counter[OrganisationId] = Counter()
        for view in self.targets.values():
            for active in view.active.values():
                if active.work.priority == 0:
                    used[active.work.job.organisation] += active.demand.accelerators
        claims = (max(0, o.guaranteed - used[o.id]) for o in self.config.organisations)
        return free - sum(claims)

    def _give_up(self, now: float, date: float) -> None:
        for view in list(self.targets.values()):
            if now - view.seen_at > self.bounds.give_up_s:
                self._lose(view, date, f"no report for {now - view.seen_at:.1f} s")
                del self.targets[view.id]
        if now - self._since > self.bounds.give_up_s:
            for target in list(self._unseen):
                self._lose_unseen(target, "its target never reported")

    def _move(self, now: float) -> None:
        """Stop runs that cannot end before their target leaves, and those that stand still."""
        for view in self.targets.values():
            for active in view.active.values():
                if active.stop_since is not None or not active.confirmed:
                    continue
                if view.drain_until:
                    if active.left_s(now) > view.drain_until - now:
                        self._stop(active, now, "target drains")
                elif self._stalled(active, now):
                    active.work.avoid.add(view.id)
                    view.failed(active.work.job.id, now)
                    self._stop(active, now, "no progress")

    def _stalled(self, active: Active, now: float) -> bool:
        if active.percent >= 100:
            # A member of a gang that is done waits for the others.
            return False
        patience_s = max(STALL_S, STALL_SHARE * active.work.task_s(active.step_number))
        return not active.step.lasting and now - active.percent_at > patience_s

    def _stop(self, active: Active, now: float, why: str) -> None:
        self.note("run stopped", task=active.name, run=active.run, target=active.target, why=why)
        self._stop_task(active.work, active.task, now)

    def _slots(self, now: float, date: float, sure: set[JobId]) -> dict[TargetId, Slot]:
        slots = {}
        for view in self.targets.values():
            if not view.placeable(now):
                continue
            slot = Slot(view.announcement, view.announcement.room)
            for active in view.active.values():
                slot.free -= active.demand
                if active.stop_since is not None:
                    slot.leaving += active.demand
                elif active.work.job.id not in sure:
                    slot.victims.append(victim_of(active, now, date))
            slot.victims.sort(key=lambda victim: victim.loss)
            slots[view.id] = slot
        return slots

    def _place(
        self, fleet: Fleet, work: JobWork, unit: Unit, sure: bool, now: float, date: float
    ) -> str:
        """Order a unit or make room for it; returns why it has to wait, empty if it has not."""
        # Within a guarantee even urgent runs give way, if they are beyond theirs.
        above = -1 if sure else work.priority
        choice = fleet.place(unit, work.avoid, self._used_of(work, unit), above, sure)
        if choice is None:
            return "no room"
        if not sure and not is_worth(work, unit, choice, date):
            return "others would lose more"
        fleet.take(unit, choice.targets)
        if choice.ready:
            self._order(work, unit, choice, now, date)
            return ""
        for victim in choice.victims:
            fleet.stop(victim)
            self._stop(victim, now, f"makes room for {work.job.id}")
        return ""

    def _note_wait(self, work: JobWork, unit: Unit, why: str, date: float) -> None:
        """Log why a job's work waits, when the reason changes."""
        if why and why != work.waits_for:
            self.note(
                "unit waits",
                job=work.job.id,
                step=unit.number,
                why=why,
                priority=work.priority,
                outlook=work.outlook(date).value,
                slack_s=round(work.deadline - date - work.chain_left_s, 1),
            )
        work.waits_for = why or work.waits_for

    def _used_of(self, work: JobWork, unit: Unit) -> Callable[[TargetId], int]:
        if not unit.step.per_target:
            return lambda target: 0
        counts: Counter[TargetId] = Counter()
        for name in work.step_tasks(unit.occurrence, unit.number):
            task = work.progress.tasks.get(name)
            if task is not None and task.target:
                counts[task.target] += 1
        return lambda target: counts[target]

    def _keep_room(self, fleet: Fleet, unit: Unit) -> int:
        """Keep the emptiest targets free for a unit that fits nowhere yet."""
        fits = [slot for slot in fleet.slots.values() if slot.suits(unit)]
        fits.sort(key=lambda slot: -slot.free.accelerators)
        fleet.take(unit, [slot.announcement.id for slot in fits[: len(unit.tasks)]])
        return 1 if fits else 0

    def _order(self, work: JobWork, unit: Unit, choice: Choice, now: float, date: float) -> None:
        run = RunNumber(max(work.task(name).run for name in unit.tasks) + 1)
        # All members of a gang have to resume from the same checkpoint.
        checkpoint = work.task(unit.tasks[0]).checkpoint
        for name, target in zip(unit.tasks, choice.targets, strict=True):
            view = self.targets[target]
            task = work.task(name)
            task.run, task.target, task.incarnation = run, target, view.incarnation
            task.resumed_from, task.machine = checkpoint, view.machine
            active = Active(
                work, name, run, target, view.incarnation, unit.step.demand, view.machine, now
            )
            view.active[active.name] = active
            view.changed = True
        work.settle(JobPhase.RUNNING, 0.0)
        self._dirty.add(work.job.id)
        self.note(
            "unit placed",
            job=work.job.id,
            step=unit.number,
            occurrence=unit.occurrence,
            run=run,
            targets=sorted(set(choice.targets)),
            tasks=unit.tasks if unit.step.gang else unit.tasks[0],
            priority=work.priority,
            slack_s=round(work.deadline - date - work.chain_s, 1),
            version=self.config.version,
        )

    # Output

    def changes(self) -> list[tuple[JobId, Progress]]:
        """Progress to store; the caller has to report success with `stored`."""
        return [(job, self.jobs[job].progress) for job in self._dirty]

    def stored(self) -> None:
        """All changes are in the store: starts may be ordered and ends acknowledged."""
        self._dirty.clear()
        for view in self.targets.values():
            view.acknowledged = view.processed
            for active in view.active.values():
                active.written = True
        for job in [w.job.id for w in self.jobs.values() if w.progress.phase.final]:
            if not self._runs_of(job):
                del self.jobs[job]

    def _runs_of(self, job: JobId) -> bool:
        return any(
            active.work.job.id == job
            for view in self.targets.values()
            for active in view.active.values()
        ) or any(a.work.job.id == job for runs in self._unseen.values() for a in runs)

    def orders(self, view: TargetView) -> Orders:
        """Everything that is still open on a target."""
        view.changed = False
        starts, stops = [], list(view.unasked.values())
        for active in view.active.values():
            if active.stop_since is not None:
                stops.append(StopOrder(active.name, active.run))
            elif active.written and not active.confirmed and view.lists_known:
                task = active.work.task(active.task)
                starts.append(
                    StartOrder(active.name, active.run, active.work.job.payload, task.resumed_from)
                )
        return Orders(
            self.token,
            view.incarnation,
            view.report_sent_at,
            view.acknowledged,
            tuple(starts),
            tuple(stops),
        )
