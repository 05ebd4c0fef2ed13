Feature: Guaranteed shapes can always be reclaimed

  Scenario: Unused guarantees stay placeable through random jobs, losses and takeovers
    # Guards against jobs placed so that an unused guarantee no longer fits, accelerators used twice
    # and new work on leaving targets. An exact search over all placements checks each step.
    Given random histories of jobs, lost workers, scrapped targets and takeovers
    Then after each step all unused guarantees fit together or some are reported as lost
    And guarantees are lost only after a step that removes capacity

  Scenario: Every organisation gets its guaranteed shape back in bounded time
    # Guards against a planned cell whose accelerators cannot be reclaimed in practice, for example
    # because the borrowing job never finishes its checkpoint.
    Given random histories of jobs, lost workers, scrapped targets and takeovers
    Then at the end a job for each unused guarantee gets it within bounded time

  Scenario: Borrowed work is checkpointed before it is stopped
    # Guards against a reclaim that stops jobs without the checkpoint that they could have written.
    Given a domain whose guaranteed worker is borrowed by preemptible jobs
    When the organisation submits a job of its guaranteed shape
    Then only the least valuable borrowing jobs are checkpointed and the job starts

  Scenario: A borrowing job whose checkpoint takes too long is stopped
    # Guards against a job that keeps a guaranteed worker by never finishing its checkpoint.
    Given a domain whose guaranteed worker is borrowed by preemptible jobs
    And the borrowing jobs never finish a checkpoint
    When the organisation submits a job of its guaranteed shape
    Then the job starts only after the checkpoint timeout

  Scenario: An organisation's own work is not stopped while there is room elsewhere
    # Guards against an organisation's new job that preempts an equal running job of its own to use
    # the guarantee, although free accelerators elsewhere suffice.
    Given an organisation whose own job borrows the worker of its guarantee
    When the organisation submits a smaller job that has room elsewhere
    Then both jobs run and nothing was stopped

  Scenario: A guarantee that no longer fits is reported as lost
    # Guards against a guarantee that no longer fits because workers were lost, without the
    # operators being told.
    Given a domain with 2 workers of which one is guaranteed
    When both workers are lost
    Then the guarantee is reported as lost and counted

  Scenario: A non-preemptible job moves a planned cell instead of waiting
    # Guards against holding back a job that fits once the cell is planned on another worker.
    Given a domain with 2 workers of which one is guaranteed
    When a non-preemptible job that fits only where the cell is planned is submitted
    Then it starts and the guarantee keeps a cell

  Scenario: A partly used worker is filled first
    # Guards against splitting up free workers and racks while a partly used worker has room.
    Given 6 workers in 2 racks, one of which has only 2 adjacent accelerators free
    When a job of 1 part with 2 accelerators is placed
    Then it gets the 2 accelerators of the partly used worker

  Scenario: A gang stays inside its adjacency
    # Guards against gangs that are spread wider than their shape allows, or placed only in part.
    Given 6 workers in 2 racks, one of which has only 2 adjacent accelerators free
    Then a gang of 3 workers in one rack is placed in the whole rack
    And a gang of 4 workers in one rack is not placed
    And a gang of 5 workers in one zone is placed

  Scenario: A gang moves from a leaving target when there is room elsewhere
    # Guards against new work on leaving targets, progress lost in the move, and gangs that are
    # stopped before another worker has room for them.
    Given 2 workers, one with a preemptible job and one with a non-preemptible job
    When the worker of the preemptible job is scrapped
    Then the preemptible job stays until the other job finishes
    And then it is checkpointed and runs on the other worker

  Scenario: Guaranteed jobs move from leaving targets one at a time
    # Guards against losing an organisation's guarantees because the jobs of all its leaving targets
    # are moved at once, although only one other worker has room.
    Given 3 workers of which 2 run guaranteed preemptible jobs
    When the workers of both jobs are scrapped
    Then one job moves and the other finishes where it is

  Scenario: Accelerators held for a moving gang can restore a lost guarantee
    # Guards against a guarantee that stays lost although it fits on the accelerators that are held
    # for the moving gang: other work would take them as soon as the gang no longer needs them.
    Given a guaranteed worker with a preemptible job and a worker with a non-preemptible job
    When the preemptible job starts to move to the other worker and the non-preemptible job finishes
    Then no guarantee is lost
    And the guarantee's cell is reclaimed when the moving gang ends and frees its held accelerators
    And no other job borrows the cell

  Scenario: A lost guarantee is restored on a worker that is used again after a refusal
    # Guards against a guarantee that stays lost, because other work takes the worker as soon as it
    # accepts jobs again.
    Given 2 workers, one with a planned cell and one that refused a job
    When the worker of the cell is lost and the refusing worker accepts jobs again
    Then no guarantee is lost
    And the job of another organisation waits

  Scenario: A job that finishes before its preemption takes effect keeps its result
    # Guards against running a finished job again because its stop had already been sent.
    Given a domain whose guaranteed worker is borrowed by preemptible jobs
    And the borrowing jobs never finish a checkpoint
    When the organisation submits a job of its guaranteed shape
    And the borrowing jobs finish before they are stopped
    Then the borrowing jobs are recorded as finished

  Scenario: The drain view names everything that still needs a target
    # Guards against an operator who removes a target that looks empty while a job, a result, a
    # request, a service or a guarantee still needs it.
    Given a domain with 2 workers of which one is guaranteed
    When a job runs on a worker with the last runner of a service that another service needs
    Then the drain view names the job, a held result, the requests, the service and the guarantee
    And with the other worker scrapped, scrapping this one is announced as a loss of the guarantee

  Scenario: A guaranteed job occupies its guarantee again after a takeover
    # Guards against a new owner that grants the same guarantee a second time and preempts the job
    # that uses it.
    Given a domain with 2 workers of which one is guaranteed
    When a guaranteed preemptible job runs next to a full worker and the owner is replaced
    And the organisation submits a job of its guaranteed shape
    Then the running job keeps running and the new job waits
