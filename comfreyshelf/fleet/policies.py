"""The replaceable decisions of an owner, chosen by the features that a deployment uses."""

import msgspec

from comfreyshelf.fleet.health.learned_health import LearnedHealth
from comfreyshelf.fleet.health.quarantine import Quarantine
from comfreyshelf.fleet.health.record import HealthRecord
from comfreyshelf.fleet.health.target_health import TargetHealth
from comfreyshelf.fleet.learned.state import LearnedState
from comfreyshelf.fleet.moves.immediate_stops import ImmediateStops
from comfreyshelf.fleet.moves.move_policy import MovePolicy
from comfreyshelf.fleet.moves.unit_moves import UnitMoves
from comfreyshelf.fleet.prediction.model import DurationModel
from comfreyshelf.fleet.prediction.quantile_model import QuantileModel
from comfreyshelf.fleet.prediction.queue_mean import QueueMeanModel
from comfreyshelf.fleet.prediction.record import DurationsRecord
from comfreyshelf.fleet.ranking import DeadlineRanking, Ranking
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.fleet.shares.ranking import FairShareRanking
from comfreyshelf.fleet.shares.settings import read_share_settings
from comfreyshelf.fleet.shares.usage import OrganisationUsage
from comfreyshelf.fleet.speed.learned_speeds import LearnedSpeeds
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
    """The policies for the features that are in use; raises SettingsError for invalid settings."""
    durations: DurationModel = QueueMeanModel()
    ranking: Ranking = DeadlineRanking()
    health: TargetHealth = Quarantine()
    learned: list[LearnedState] = []
    if scheduling.uses(Feature.PREDICTION):
        durations = quantiles = QuantileModel()
        learned.append(DurationsRecord(quantiles))
    if scheduling.uses(Feature.FAIR_SHARES):
        shares = read_share_settings(scheduling)
        usage = OrganisationUsage(shares.half_life_s)
        ranking = FairShareRanking(shares, usage)
        learned.append(usage)
    if scheduling.uses(Feature.TARGET_HEALTH):
        health = learned_health = LearnedHealth()
        learned.append(HealthRecord(learned_health))
    speeds: TargetSpeeds = UniformSpeeds()
    if scheduling.uses(Feature.TARGET_SPEED):
        speeds = learned_speeds = LearnedSpeeds(scheduling)
        learned.append(learned_speeds)
    moves = UnitMoves(scheduling) if scheduling.uses(Feature.MOVES) else ImmediateStops()
    return Policies(durations, speeds, health, ranking, moves, tuple(learned))
