Feature: The first release's scheduler bounds what loses its workers

  Scenario: A job that loses each worker as it starts is refused
    # Guards against one job that crashes worker after worker: an attempt that is lost with its worker
    # is repeated at once and counts for nothing.
    Given a scheduler with 4 workers
    When a job is queued, and each worker restarts one second after it has started there
    Then the job is refused as failing everywhere after 3 attempts

  Scenario: A job that loses workers long after its start is not refused
    # Guards against refusing work for workers that restart for reasons of their own.
    Given a scheduler with 4 workers
    When a job is queued, and each worker restarts 60 seconds after it has started there
    Then the job still runs after 6 attempts
