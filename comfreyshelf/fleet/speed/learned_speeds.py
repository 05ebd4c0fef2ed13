"""Speeds of machines, learned from the progress of runs."""

import math
from statistics import median, median_low

import msgspec

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.learned.state import LearnedState
from comfreyshelf.fleet.scheduling import Scheduling
from comfreyshelf.fleet.speed.machine_speed import (
    HalfLives,
    MachineSpeed,
    cautious_median,
    clamp_log,
)
from comfreyshelf.fleet.speed.run_pace import (
    Listing,
    RunKey,
    RunPace,
    StepKey,
    is_turn,
    new_run_pace,
)
from comfreyshelf.fleet.speed.target_speeds import TargetSpeeds

# A member of a gang shows a turn only if another member's pace changed less than this factor,
STEADY_FACTOR = 1.5
# and in this many listings, so that the other members have been listed since the turn.
MIN_GANG_LISTINGS = 2
# Members of a gang whose paces differ by less may wait for each other, and then show nothing.
LOCKSTEP_FACTOR = 1.08
# Runs of one step on other machines that make a comparison.
MIN_SIBLINGS = 2
MAX_SIBLINGS = 64
AGE_INTERVAL_S = 1.0
# What is kept of runs and steps that have not been listed for longer.
RUN_RETENTION_S = 5.0
STEP_RETENTION_S = 60.0
MAX_MACHINES = 1000
# With fewer machines the usual speed is not known.
MIN_MACHINES = 5
# The usual speed is limited to this, as a few slow machines may be all that were seen.
MAX_USUAL_SPEED = 1.25
RECORD_VERSION = 1
# Speeds this close to 1, as a logarithm, are not stored.
NEGLIGIBLE_LOG = 0.02


class _StoredSpeed(msgspec.Struct, frozen=True, array_like=True):
    """The logarithm of a machine's speed, and the age of its last evidence in seconds."""

    log_speed: float
    age_s: float


class _SpeedRecord(msgspec.Struct, frozen=True):
    """The stored speeds; `unix_s` is when they were written."""

    version: int
    unix_s: float
    machines: dict[str, _StoredSpeed]


class _StepPaces(msgspec.Struct):
    """Seconds that a step's tasks take, by run, and the machine of each."""

    seconds: dict[RunKey, tuple[str, float]] = {}
    idle_s: float = 0.0


class LearnedSpeeds(TargetSpeeds, LearnedState):
    """Compares runs of the same step on different machines, and each run with itself.

    Only siblings are compared: what callers and queues expect is wrong by up to a factor of 2.
    A change of a run's own pace shows sooner that its machine has turned slow or fast.
    """

    name = "target_speed"

    def __init__(self, scheduling: Scheduling) -> None:
        number = scheduling.number
        self._half_lives = HalfLives(
            number("target_speed", "half_life_s", 600.0, 1.0),
            number("target_speed", "recovery_s", 30.0, 1.0),
        )
        self._machines: dict[str, MachineSpeed] = {}
        # Speeds as of the last evidence or ageing, since each planning pass asks for all of them.
        self._speeds: dict[str, float] = {}
        # The median of the machines that were seen. Without it as the unit, all speeds would drift
        # together, since siblings are compared by the speeds of their machines.
        self._usual_speed = 1.0
        self._paces: dict[RunKey, RunPace] = {}
        self._paces_by_machine: dict[str, dict[RunKey, RunPace]] = {}
        self._steps: dict[StepKey, _StepPaces] = {}
        self._aged_at: float | None = None

    def speed(self, machine: str) -> float:
        return self._speeds.get(machine, self._usual_speed) / self._usual_speed

    def observe(self, active: ActiveRun, now: float) -> None:
        self._age(now)
        key = (active.full_name, active.run)
        is_working = active.percent < 100 and active.stopping_since is None
        # The percentage of a lasting run is not its progress.
        if not is_working or active.step.lasting:
            self._forget_run(key)
            return
        pace = self._paces.get(key)
        if pace is None:
            pace = self._paces[key] = new_run_pace(active)
            self._paces_by_machine.setdefault(pace.machine, {})[key] = pace
            self._machine(pace.machine)
            return
        pace.remote_factor = active.remote_factor
        if not pace.add(Listing(active.listed_at, active.percent)):
            return
        if pace.change is not None and is_turn(pace.change):
            self._check_turn(pace)
        seconds = pace.take_sample()
        if seconds is not None:
            self._compare(key, pace, seconds)

    # Comparison with siblings

    def _compare(self, key: RunKey, pace: RunPace, seconds: float) -> None:
        """Compare the pace of a run with those of the same step on other machines."""
        step = self._steps.setdefault(pace.step, _StepPaces())
        step.idle_s = 0.0
        step.seconds[key] = (pace.machine, seconds)
        if len(step.seconds) > MAX_SIBLINGS:
            del step.seconds[next(iter(step.seconds))]
        if pace.gang is not None and self._may_be_in_lockstep(step):
            return
        siblings = [
            other_s * self.speed(machine)
            for machine, other_s in step.seconds.values()
            if machine != pace.machine
        ]
        if len(siblings) < MIN_SIBLINGS:
            return
        # The lower median, as odd tasks are longer than others, not shorter.
        ratio = median_low(siblings) / seconds
        machine = self._machine(pace.machine)
        machine.add_sample(key, ratio, self._half_lives, not pace.has_sample)
        pace.has_sample = True
        self._update_speed(pace.machine)

    @staticmethod
    def _may_be_in_lockstep(step: _StepPaces) -> bool:
        """Whether the members of a gang may all have the pace of the slowest one."""
        paces = [seconds for _, seconds in step.seconds.values()]
        return max(paces) < LOCKSTEP_FACTOR * min(paces)

    # Sudden changes

    def _check_turn(self, pace: RunPace) -> None:
        """Change the speed of a machine if the runs there agree that it has changed."""
        runs = self._paces_by_machine[pace.machine]
        changes = [
            math.log(run.change)
            for run in runs.values()
            if run.change is not None and self._is_of_its_machine(run)
        ]
        if not changes:
            return
        change = math.exp(cautious_median(changes))
        if not is_turn(change):
            return
        self._machine(pace.machine).turn(change, self._half_lives)
        self._update_speed(pace.machine)
        for key, run in runs.items():
            run.restart(run.recent[-1])
            if run.step in self._steps:
                self._steps[run.step].seconds.pop(key, None)

    def _is_of_its_machine(self, pace: RunPace) -> bool:
        """Whether a change of pace tells of the run's machine, not of another member's machine."""
        if pace.gang is None:
            return True
        return pace.turn_listings >= MIN_GANG_LISTINGS and any(
            other.machine != pace.machine
            and other.gang == pace.gang
            and other.change is not None
            and 1 / STEADY_FACTOR < other.change < STEADY_FACTOR
            for other in self._paces.values()
        )

    # Ageing

    def _age(self, now: float) -> None:
        if self._aged_at is None:
            self._aged_at = now
        elapsed_s = now - self._aged_at
        if elapsed_s < AGE_INTERVAL_S:
            return
        self._aged_at = now
        for name, machine in self._machines.items():
            machine.age_s += elapsed_s
            self._update_speed(name)
        if len(self._speeds) >= MIN_MACHINES:
            usual = median(self._speeds.values())
            self._usual_speed = min(MAX_USUAL_SPEED, max(1 / MAX_USUAL_SPEED, usual))
        for pace in self._paces.values():
            pace.idle_s += elapsed_s
        for step in self._steps.values():
            step.idle_s += elapsed_s
        for key in [key for key, pace in self._paces.items() if pace.idle_s > RUN_RETENTION_S]:
            self._forget_run(key)
        for step_key in [k for k, step in self._steps.items() if step.idle_s > STEP_RETENTION_S]:
            del self._steps[step_key]
        self._limit_machines()

    def _machine(self, name: str) -> MachineSpeed:
        """The speed of a machine; one without any evidence counts as usual."""
        machine = self._machines.get(name)
        if machine is None:
            machine = self._machines[name] = MachineSpeed()
            self._speeds[name] = 1.0
        return machine

    def _forget_run(self, key: RunKey) -> None:
        pace = self._paces.pop(key, None)
        if pace is not None:
            runs = self._paces_by_machine[pace.machine]
            del runs[key]
            if not runs:
                del self._paces_by_machine[pace.machine]

    def _update_speed(self, machine: str) -> None:
        self._speeds[machine] = self._machines[machine].speed(self._half_lives)

    def _limit_machines(self) -> None:
        """Forget the machines with the oldest evidence if there are too many."""
        excess = len(self._machines) - MAX_MACHINES
        if excess > 0:
            for name in sorted(self._machines, key=lambda m: -self._machines[m].age_s)[:excess]:
                del self._machines[name], self._speeds[name]

    # The stored record

    def encode(self, unix_now: float) -> bytes:
        machines = {
            name: _StoredSpeed(round(machine.log_speed, 2), round(machine.age_s))
            for name, machine in self._machines.items()
            if abs(machine.log_speed) > NEGLIGIBLE_LOG
        }
        return msgspec.json.encode(_SpeedRecord(RECORD_VERSION, round(unix_now, 1), machines))

    def merge(self, value: bytes, unix_now: float) -> None:
        """Take over the speeds for which this owner has no newer evidence of its own.

        The record of an owner that has lost its term does no harm, as older evidence loses.
        """
        record = msgspec.json.decode(value, type=_SpeedRecord)
        if record.version != RECORD_VERSION:
            raise msgspec.DecodeError(f"the record has the unknown version {record.version}")
        since_written_s = max(0.0, unix_now - record.unix_s)
        for name, stored in record.machines.items():
            age_s = max(0.0, stored.age_s) + since_written_s
            machine = self._machine(name)
            if age_s < machine.age_s:
                log_speed = clamp_log(math.exp(min(10.0, max(-10.0, stored.log_speed))))
                machine.adopt(log_speed, age_s)
            self._update_speed(name)
        self._limit_machines()
