"""The replaceable decisions of an owner, chosen by the features that a deployment uses."""

import msgspec

from comfreyshelf.fleet.health.quarantine import Quarantine
from comfreyshelf.fleet.health.target_health import TargetHealth
from comfreyshelf.fleet.learned.state import LearnedState
from comfreyshelf.fleet.moves.immediate_stops import ImmediateStops
from comfreyshelf.fleet.moves.move_policy import MovePolicy
from comfreyshelf.fleet.moves.unit_moves import UnitMoves
from comfreyshelf.fleet.prediction.model import DurationModel
from comfreyshelf.fleet.prediction.queue_mean import QueueMeanModel
from comfreyshelf.fleet.ranking import DeadlineRanking, Ranking
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.fleet.speed.target_speeds import TargetSpeeds, UniformSpeeds


class Policies(msgspec.Struct):
    """What one owner decides with during its term; `learned` is kept for the next owner."""

    durations: DurationModel
    speeds: TargetSpeeds
    health: TargetHealth
    ranking: Ranking
    moves: MovePolicy
    learned: tuple[LearnedState, ...] = ()


def make_policies(scheduling: Scheduling) -> Policies:
    """The policies for the features that are in use."""
    return Policies(
        QueueMeanModel(),
        UniformSpeeds(),
        Quarantine(),
        DeadlineRanking(),
        UnitMoves(scheduling) if scheduling.uses(Feature.MOVES) else ImmediateStops(),
    )
