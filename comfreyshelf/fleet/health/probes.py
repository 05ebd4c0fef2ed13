"""Which units may be started on a target on probation, to show whether it is well."""

from comfreyshelf.fleet.prediction.model import Quantile
from comfreyshelf.fleet.tracked_job import TrackedJob, Unit

# A task loses little by a failure if it is this short, or this little work. Urgent tasks take 5 s.
SHORT_TASK_S = 5.0
CHEAP_TASK_CORE_S = 120.0


def is_probe(tracked: TrackedJob, unit: Unit) -> bool:
    """Whether a unit may show that a target is well: a short, cheap or checkpointed task.

    Gangs lose more than the task that fails, and urgent work has no time for a second start.
    """
    step = unit.step
    if step.gang or len(unit.tasks) > 1 or step.lasting or tracked.priority == 0:
        return False
    if step.checkpoints:
        return True
    # The high quantile, as a task that may be long is no cheap one.
    expected_s = tracked.task_duration_s(unit.step_number, Quantile.HIGH)
    work_core_s = expected_s * step.demand.core_equivalents
    return expected_s <= SHORT_TASK_S or work_core_s <= CHEAP_TASK_CORE_S
