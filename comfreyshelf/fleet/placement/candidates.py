"""The targets that may be given work, with what their runs hold and may release."""

from functools import partial

from comfreyshelf.fleet.attempts import YOUNG_RUN_S, is_suspect
from comfreyshelf.fleet.moves.preemption_cost import (
    make_victim,
)
from comfreyshelf.fleet.placement.candidate_target import CandidateTarget, Victim
from comfreyshelf.fleet.placement.room_forecast import list_ends
from comfreyshelf.fleet.policies import Policies
from comfreyshelf.fleet.ranking import Ranking
from comfreyshelf.fleet.targets import TargetView
from comfreyshelf.ids import JobId


def make_candidate(
    view: TargetView, policies: Policies, covered_ids: set[JobId], now: float, unix_now: float
) -> CandidateTarget:
    """Describe a target for placement; `covered_ids` are jobs whose runs may not be preempted."""
    candidate = CandidateTarget(view.announcement, view.announcement.room)
    candidate.standing = policies.health.standing(view.machine)
    candidate.failure_risk = policies.health.risk(view.machine)
    candidate.is_occupied = bool(view.active_runs)
    for active in view.active_runs.values():
        candidate.free -= active.demand
        if active.stopping_since is not None:
            candidate.releasing += active.demand
        if not active.is_confirmed or now - active.started_at <= YOUNG_RUN_S:
            is_trial = is_suspect(active.tracked, (active.task,))
            candidate.add_young_run(active.tracked.job.id, is_trial)
    candidate.list_victims = partial(
        _list_victims, view, covered_ids, policies.ranking, now, unix_now
    )
    candidate.work_at_risk = partial(_work_at_risk, view, now)
    candidate.speed = policies.speeds.speed(view.machine)
    candidate.list_ends = partial(list_ends, view)
    return candidate


def _work_at_risk(view: TargetView, now: float) -> float:
    """Core-seconds of work that would be lost if the runner of a target crashed."""
    return sum(
        active.worked_s(now) * active.demand.core_equivalents * active.gang_size
        for active in view.active_runs.values()
        if not active.step.checkpoints
    )


def _list_victims(
    view: TargetView,
    covered_ids: set[JobId],
    ranking: Ranking,
    now: float,
    unix_now: float,
) -> list[Victim]:
    """The runs of a target that may be preempted, by their total loss in ascending order."""
    victims = [
        make_victim(active, now, unix_now, ranking.loss_factor(active.tracked.job.organisation))
        for active in view.active_runs.values()
        if active.stopping_since is None and active.tracked.job.id not in covered_ids
    ]
    victims.sort(key=lambda victim: victim.total_loss)
    return victims
