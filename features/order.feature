Feature: Order, limits, estimates and quarantine of the scheduler core

  Scenario: A large gang is not starved by small jobs that keep arriving
    Guards against: small jobs take every accelerator that becomes free and the gang waits for ever.
    Given a core with 2 workers
    And a running job of 8 accelerators that ends at 1000 s
    And a blocked gang of 2 parts of 8 accelerators that waited past its patience
    When small long jobs arrive
    Then no small job starts before the gang
    And the gang starts when the running job ends

  Scenario: Short work backfills around a reservation
    Guards against: a reservation idles accelerators that short work could use in the meantime.
    Given a core with 2 workers
    And a running job of 8 accelerators that ends at 1000 s
    And a blocked gang of 2 parts of 8 accelerators that waited past its patience
    When a short job arrives
    Then the short job starts

  Scenario: Urgent work preempts less urgent work of another organisation
    Guards against: urgent work waits for long borrowed work instead of starting within 9.7 s.
    Given a core with 1 workers
    And a running preemptible job of 8 accelerators of organisation b
    When an urgent job of organisation a arrives
    Then the running job is stopped after a checkpoint
    And the urgent job starts when the stop is reported

  Scenario: Urgent work leaves work that cannot be checkpointed alone
    Guards against: a preemption loses the work of a job that has no checkpoint.
    Given a core with 1 workers
    And a running job of 8 accelerators that cannot be preempted
    When an urgent job of organisation a arrives
    Then nothing is stopped

  Scenario: A whole result that crosses a preemption counts
    Guards against: a finished job runs a second time because its stop was already on its way.
    Given a core with 1 workers
    And a running preemptible job of 8 accelerators of organisation b
    When an urgent job of organisation a arrives
    And the running job finishes before it is stopped
    Then the result of the running job is recorded

  Scenario: A flood is shed from its own least urgent work
    Guards against: a flood displaces work of other organisations or its own more urgent work.
    Given a core with 1 workers
    And organisation a may queue 3 jobs
    And a running job of 8 accelerators that cannot be preempted
    And organisation b queues 1 low job
    When a mix of 3 high jobs and 1 low job of organisation a arrives
    And organisation a queues 1 normal job
    Then exactly the low and the normal job of organisation a are refused as shed

  Scenario: A job that ran before is never shed
    Guards against: a job is refused as not run although it ran.
    Given a core with 1 workers
    And organisation a may queue 1 jobs
    And a running job of 8 accelerators that cannot be preempted
    When a job of organisation a arrives that had an attempt
    And organisation a queues 1 high job
    Then the job that had an attempt stays queued

  Scenario: A job larger than the fleet is refused only when the fleet is known
    Guards against: a new owner that knows few workers refuses jobs that fit.
    Given a core with 1 workers
    When a gang of 2 parts of 8 accelerators arrives 60 s after the last worker joined
    Then it stays queued
    And it is refused as never fitting 700 s after the last worker joined

  Scenario: A worker that fails three jobs is quarantined until a probe passes
    Guards against: a broken worker returns to service without a probe, or is probed without a pause.
    Given a quarantine for a fleet of 10 workers
    When 3 different jobs fail on worker w-0
    Then w-0 is in quarantine
    And a failed probe keeps w-0 in quarantine and a passed probe releases it

  Scenario: A bad job does not put workers into quarantine
    Guards against: a few bad jobs take good workers out of service.
    Given a quarantine for a fleet of 10 workers
    When 3 jobs fail on each of w-0, w-1 and w-2
    Then no worker is in quarantine
    And each of these jobs fails everywhere

  Scenario: A good job is not refused because of bad workers
    Guards against: an accepted job is refused because it met bad workers.
    Given a quarantine for a fleet of 20 workers
    When workers w-0, w-1 and w-2 each fail 3 jobs of their own
    And job victim fails on w-0, w-1 and w-2
    Then job victim does not fail everywhere

  Scenario: At most a fifth of the fleet is quarantined
    Guards against: a common fault takes the whole fleet out of service.
    Given a quarantine for a fleet of 10 workers
    When each of 5 workers fails 3 jobs of its own
    Then 2 workers are in quarantine and 3 are suspects

  Scenario: Estimates correct declarations and keep their memory bounded
    Guards against: backfill trusts declarations that are far off, or estimates grow without bound.
    Given estimates that saw 50 runs of 100 s declared as 1000 s
    Then a job declared as 1000 s is expected to run 90 to 115 s
    And estimates of 10000 kinds keep at most 4096

  Scenario: A rate limit never exceeds its rate and burst
    Guards against: a caller gets more than its rate after a pause or a burst.
    Given any times of requests
    Then a rate limit of 5 a second and burst 10 grants at most burst plus rate times time

  Scenario: Order does not depend on the urgency of a flood
    Guards against: a flood of the most urgent work starves other organisations.
    Given a queue where organisation a floods with urgent work above its fair share
    When organisation b queues a normal job
    Then the job of organisation b comes first

  Scenario: Failed attempts are retried with growing delays inside a budget
    Guards against: failing jobs are retried in step and keep the workers busy.
    Given a job that fails again and again
    Then the delays grow, differ between seeds and stay under 300 s

  Scenario: A replayed load keeps every promise
    Guards against: a job is lost, doubled or refused when faults coincide.
    Given a replay of 2 h with worker-loss, bad-workers, cancel-wave, log-outage
    Then every job ends once and no accelerators overlap

  Scenario: A job that failed everywhere is not reported as not run
    Guards against: a caller submits a job again that it believes never ran.
    Given a job that failed on three workers and was refused
    Then neither the job nor its result is reported as not run

  Scenario: Urgent work that cannot borrow finds work to preempt
    Guards against: work that cannot be preempted fills the fleet and urgent work waits for its end.
    Given a core with 10 workers
    And 10 jobs of organisation b that cannot be preempted and one that can
    When an urgent job of organisation a that cannot be preempted arrives
    Then a preemptible job is stopped for it

  Scenario: A flood cannot fill the fleet with work that cannot be preempted
    Guards against: gangs of others find no whole worker to reclaim until the flood ends.
    Given a core with 0 workers
    And organisation a floods with work that cannot be preempted beside organisation b
    When 10 workers join
    Then at most 44 of the 80 accelerators run work of organisation a

  Scenario: A long queue offers new urgent work at once
    Guards against: scores that are computed only at times hide a job that arrived in between.
    Given a queue of 100 groups that was ranked a moment ago
    When organisation b queues an urgent job in the long queue
    Then the urgent job comes first and a group without room is skipped until room changes

  Scenario: A job that fits only where it failed is tried there again
    # Guards against a wide gang that waits ten minutes after one bad worker has recovered.
    Given a core with 2 workers
    And a job of 8 accelerators that failed on both workers that it needs
    Then it is not tried again at once, but within 60 s

  Scenario: A hold of a gang that is never offered again ends
    # Guards against free workers that stay held for a gang while an equal job keeps it from its turn.
    Given a gang that holds two free workers for later
    Then an equal job finds no room at once, but does 40 s after the hold's time
