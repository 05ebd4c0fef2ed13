Feature: Guaranteed shapes stay reclaimable

  Scenario: Every planned cell survives random work, losses and takeovers
    # Guards against work that makes an unused guarantee impossible, doubly used accelerators and
    # new work on leaving targets; an exact search over all placements judges each step.
    Given random histories of jobs, lost workers, scrapped targets and takeovers
    Then after each step the unused guarantees fit at the same time or are reported as lost
    And no step but a loss of capacity loses a guarantee

  Scenario: Every organisation gets its guaranteed shape back in bounded time
    # Guards against a plan that exists on paper but cannot be reclaimed, and against borrowed work
    # that never finishes its checkpoint.
    Given random histories of jobs, lost workers, scrapped targets and takeovers
    Then at the end each unused guarantee is in use in bounded time once a job asks for it

  Scenario: Borrowed work is checkpointed before it is stopped
    # Guards against reclaiming work that could have been checkpointed by cutting it.
    Given a domain whose guaranteed worker is borrowed by preemptible jobs
    When the organisation submits a job of its guaranteed shape
    Then only the least valuable borrowed jobs are checkpointed and the job starts

  Scenario: A checkpoint that takes too long is cut
    # Guards against borrowed work that holds a guarantee for ever.
    Given a domain whose guaranteed worker is borrowed by preemptible jobs
    And borrowed jobs never finish a checkpoint
    When the organisation submits a job of its guaranteed shape
    Then the job starts only after the checkpoint timeout

  Scenario: An organisation's own work is not stopped while there is room elsewhere
    # Guards against an organisation that preempts its own running job for an equal one.
    Given an organisation whose own job borrows the worker of its guarantee
    When the organisation submits a smaller job that has room elsewhere
    Then both jobs run and nothing was stopped

  Scenario: Lost capacity is reported
    # Guards against a guarantee that is silently not kept.
    Given a domain with 2 workers of which one is guaranteed
    When both workers are lost
    Then the guarantee is reported as lost and counted

  Scenario: Non-preemptible work moves a planned cell instead of waiting
    # Guards against refusing work that fits once the plan changes.
    Given a domain with 2 workers of which one is guaranteed
    When a non-preemptible job that fits only where the cell is planned is submitted
    Then it starts and the guarantee keeps a cell

  Scenario: The tightest hole is used first
    # Guards against breaking whole workers and racks while smaller holes exist.
    Given 6 workers in 2 racks, one of which has a hole of 2 accelerators
    When a job of 1 part with 2 accelerators is placed
    Then it fills the hole

  Scenario: A gang stays inside its adjacency
    # Guards against gangs spread wider than their shape allows, or started in part.
    Given 6 workers in 2 racks, one of which has a hole of 2 accelerators
    Then a gang of 3 workers in one rack is placed in the whole rack
    And a gang of 4 workers in one rack is not placed
    And a gang of 5 workers in one zone is placed

  Scenario: A gang leaves a target when there is room elsewhere
    # Guards against new work on leaving targets, lost work, and gangs stopped without a place to go.
    Given 2 workers, one with a preemptible job and one with a job that is not preemptible
    When the worker of the preemptible job is scrapped
    Then the preemptible job stays until the other job finishes
    And then it is checkpointed and runs on the other worker

  Scenario: Guaranteed jobs leave one at a time
    # Guards against losing the guarantee of an organisation by emptying all its targets at once.
    Given 3 workers of which 2 run guaranteed preemptible jobs
    When the workers of both jobs are scrapped
    Then one job moves and the other finishes where it is

  Scenario: Room held for a moving gang does not keep a guarantee lost
    # Guards against a guarantee that stays lost until other work has taken its room.
    Given a guaranteed worker with a preemptible job and one with a firm job
    When the preemptible job has room on the other worker, and the firm job finishes
    Then no guarantee is lost
    And its cell is reclaimed while the moving gang gives up its room
    And nobody borrows the cell

  Scenario: A guarantee takes a worker that is tried again after a refusal
    # Guards against a guarantee that stays lost while other work takes the worker.
    Given 2 workers, one with a planned cell and one that refused a job
    When the worker of the cell is lost and the other one is tried again
    Then no guarantee is lost
    And the job of another organisation waits

  Scenario: A result that is complete before a preemption counts
    # Guards against running a finished job again because its preemption came too late.
    Given a domain whose guaranteed worker is borrowed by preemptible jobs
    And borrowed jobs never finish a checkpoint
    When the organisation submits a job of its guaranteed shape
    And the borrowed jobs finish before they are stopped
    Then the borrowed jobs are recorded as finished

  Scenario: The read-back names everything that holds a target
    # Guards against a target that looks empty while something still needs it.
    Given a domain with 2 workers of which one is guaranteed
    When a job runs on a worker whose runner is the last one of a needed service
    Then the read-back names the job, its result, the requests, the service and the guarantee
    And scrapping both workers is announced as the loss of the guarantee

  Scenario: A guaranteed job occupies its guarantee again after a takeover
    # Guards against a new owner that grants the same guarantee twice and preempts its user.
    Given a domain with 2 workers of which one is guaranteed
    When a guaranteed preemptible job runs next to a full worker and the owner is replaced
    And the organisation submits a job of its guaranteed shape
    Then the running job goes on and the new job waits
