Feature: Queue order, limits, run-time estimates and quarantine in the scheduler

  Scenario: A large gang is not starved by small jobs that keep arriving
    Guards against starvation: small jobs take every accelerator as it becomes free, so the gang
    never finds enough of them free at the same time.
    Given a scheduler with 2 workers
    And a running job of 8 accelerators that ends at 1000 s
    And a blocked gang of 2 parts of 8 accelerators that waited long enough for a reservation
    When small jobs with long run times arrive
    Then no small job starts before the gang
    And the gang starts when the running job ends

  Scenario: Short jobs backfill before a reservation
    Guards against a reservation that leaves accelerators idle, although a short job would end
    before the reservation begins.
    Given a scheduler with 2 workers
    And a running job of 8 accelerators that ends at 1000 s
    And a blocked gang of 2 parts of 8 accelerators that waited long enough for a reservation
    When a short job arrives
    Then the short job starts

  Scenario: An urgent job preempts less urgent work of another organisation
    Guards against an urgent job that does not start within 9.7 s, because it waits for a long job
    of another organisation to end instead of preempting it.
    Given a scheduler with 1 workers
    And a running preemptible job of 8 accelerators of organisation b
    When an urgent job of organisation a arrives
    Then the running job is stopped after a checkpoint
    And the urgent job starts when the stopped part is reported

  Scenario: An urgent job does not preempt a job that cannot be checkpointed
    Guards against a preemption that loses all progress of the running job, because that job cannot
    write a checkpoint.
    Given a scheduler with 1 workers
    And a running non-preemptible job of 8 accelerators
    When an urgent job of organisation a arrives
    Then nothing is stopped

  Scenario: A job that finishes while its stop is in flight keeps its result
    Guards against running a finished job a second time because its preemption had already begun.
    Given a scheduler with 1 workers
    And a running preemptible job of 8 accelerators of organisation b
    When an urgent job of organisation a arrives
    And the running job finishes before it is stopped
    Then the result of the running job is recorded

  Scenario: An organisation over its queue limit loses its own least urgent jobs
    Guards against load shedding that removes jobs of other organisations, or more urgent jobs of
    the organisation that exceeds its limit.
    Given a scheduler with 1 workers
    And organisation a may queue 3 jobs
    And a running non-preemptible job of 8 accelerators
    And organisation b queues 1 low job
    When a mix of 3 high jobs and 1 low job of organisation a arrives
    And organisation a queues 1 normal job
    Then exactly the low and the normal job of organisation a are refused as shed

  Scenario: A job that ran before is never shed
    Guards against refusing a job as not run although an attempt of it ran, when its organisation
    exceeds its queue limit.
    Given a scheduler with 1 workers
    And organisation a may queue 1 jobs
    And a running non-preemptible job of 8 accelerators
    When a job of organisation a arrives that already had an attempt
    And organisation a queues 1 high job
    Then the job that already had an attempt stays queued

  Scenario: A job larger than the fleet is refused only after all workers had time to join
    Guards against a new owner that refuses jobs that fit, because few workers have joined yet.
    Given a scheduler with 1 workers
    When a gang of 2 parts of 8 accelerators arrives 60 s after the last worker joined
    Then it stays queued
    And it is refused as never fitting 700 s after the last worker joined

  Scenario: A worker that fails three jobs is quarantined until a probe passes
    Guards against a broken worker that returns to service without a passed probe, or that is probed
    continuously.
    Given a quarantine for a fleet of 10 workers
    When 3 different jobs fail on worker w-0
    Then w-0 is in quarantine
    And a failed probe keeps w-0 in quarantine and a passed probe releases it

  Scenario: Jobs that fail on every worker do not quarantine workers
    Guards against a few faulty jobs that take healthy workers out of service.
    Given a quarantine for a fleet of 10 workers
    When 3 jobs fail on each of w-0, w-1 and w-2
    Then no worker is in quarantine
    And each of these jobs counts as failing everywhere

  Scenario: A job is not refused because of faulty workers
    Guards against refusing an accepted job whose attempts failed only on faulty workers.
    Given a quarantine for a fleet of 20 workers
    When workers w-0, w-1 and w-2 each fail 3 jobs that fail on no other worker
    And job victim fails on w-0, w-1 and w-2
    Then job victim does not count as failing everywhere

  Scenario: At most a fifth of the fleet is quarantined
    Guards against a fault shared by many workers that takes the whole fleet out of service.
    Given a quarantine for a fleet of 10 workers
    When each of 5 workers fails 3 jobs that fail on no other worker
    Then 2 workers are in quarantine and 3 are suspects

  Scenario: Run-time estimates correct declared run times in bounded memory
    Guards against backfill that trusts declared run times which are far off, and against estimates
    that grow with every new kind of job.
    Given estimates from 50 runs of 100 s that were declared as 1000 s
    Then a job declared as 1000 s is expected to run 90 to 115 s
    And estimates of 10000 kinds keep at most 4096

  Scenario: A rate limit never exceeds its rate and burst
    Guards against a caller that gets more than its rate after a pause or a burst.
    Given requests at arbitrary times
    Then a rate limit of 5 a second and burst 10 grants at most burst plus rate times time

  Scenario: An organisation above its fair share cannot jump the queue with urgent jobs
    Guards against an organisation that starves the others by submitting everything as urgent.
    Given a queue where organisation a uses more than its fair share and queues many urgent jobs
    When organisation b queues a normal job
    Then the job of organisation b comes first

  Scenario: Failed attempts are retried with growing delays and a retry budget
    Guards against failing jobs that keep the workers busy, because they are retried too often and
    all at the same moments.
    Given a job that fails repeatedly
    Then the delays grow, differ between seeds and stay under 300 s

  Scenario: Replayed load with faults runs every job exactly once
    Guards against a job that is lost, run twice or refused when several kinds of fault coincide.
    Given a replay of 2 h with worker-loss, bad-workers, cancel-wave, log-outage
    Then every job ends once and no accelerator runs two jobs at a time

  Scenario: A job that failed everywhere is not reported as not run
    Guards against a caller that submits the job again because it believes that the job never ran.
    Given a job that failed on three workers and was refused
    Then neither the job nor its result is reported as not run

  Scenario: An urgent non-preemptible job can preempt although it may not borrow planned cells
    Guards against an urgent job that waits for the end of non-preemptible jobs which fill the
    fleet, although a preemptible job could be stopped for it.
    Given a scheduler with 10 workers
    And 10 non-preemptible jobs and one preemptible job of organisation b
    When an urgent non-preemptible job of organisation a arrives
    Then the preemptible job is stopped for it

  Scenario: One organisation cannot fill the fleet with non-preemptible jobs
    Guards against gangs of other organisations that wait until these jobs end, because no whole
    worker can be freed by preemption.
    Given a scheduler with 0 workers
    And organisation a queues many non-preemptible jobs and organisation b queues one job
    When 10 workers join
    Then at most 44 of the 80 accelerators run work of organisation a

  Scenario: A new urgent job comes first in a queue whose ranking is cached
    Guards against a new job that waits for the next recomputation of the ranking, because the
    cached ranking does not contain it.
    Given a queue with jobs of 100 organisations and a cached ranking
    When organisation b queues an urgent job in the long queue
    Then the urgent job comes first, and a job without room is skipped until free room changes

  Scenario: A job that fits only where it failed is retried there
    Guards against a gang that needs all workers and still waits ten minutes after a faulty worker
    has recovered, because workers on which it failed are avoided.
    Given a scheduler with 2 workers
    And a gang of 2 parts of 8 accelerators that failed on the only two workers
    Then it is not retried at once, but within 60 s

  Scenario: A reservation expires when the queue does not offer its gang again
    Guards against free workers that stay reserved for a gang which never gets its turn, because a
    job of the same shape comes first in the queue.
    Given a gang with a reservation on two free workers
    Then a job of the same shape finds no room at first, but does 40 s after the reserved start
