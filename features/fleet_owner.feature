Feature: The owner's scheduling decisions stay consistent whatever its targets report

  Background:
    Given 4 targets of 8 accelerators, two in each rack

  Scenario: No start is ordered before it is in the store
    # Guards against a run that the next owner does not know, because the owner stopped between
    # the order and the append.
    When a job of 1 task of 8 accelerators is accepted
    Then no start is ordered until the change is stored

  Scenario: An end is acknowledged only once it is in the store
    # Guards against an end that is lost: the target forgets it once it is acknowledged, and the
    # owner stops before it has stored it.
    Given a job of 1 task of 8 accelerators runs
    When its run ends as done
    Then the end is acknowledged only after the change is stored

  Scenario: A gang is placed whole, in one rack
    # Guards against members of a gang in different racks or under different run numbers.
    When a job of a gang of 2 tasks of 8 accelerators is accepted
    Then both tasks are ordered with one run number in one rack

  Scenario: A gang that fits nowhere is not started in part
    # Guards against members that hold accelerators while the rest of the gang has no room.
    When a job of a gang of 5 tasks of 8 accelerators is accepted
    Then no start is ordered

  Scenario: A gang that lost a member starts again as a whole
    # Guards against a gang whose members belong to different runs: one member fails and only that
    # one is started again, or the new run starts before the old one has ended.
    Given a job of a gang of 2 tasks of 8 accelerators runs
    When one run of it ends as failed
    Then the other member is stopped, and both start again with run 2 once it has ended

  Scenario: A job fails after its attempts and not before
    # Guards against a failing job that is repeated without end, given up early, or tried twice on
    # the same target.
    Given a job of 1 task of 8 accelerators runs
    When its runs end as failed until the job ends
    Then 2 runs were ordered, on different targets, and the job has failed

  Scenario: Urgent work within its guarantee stops what loses least
    # Guards against preemption of more runs than needed, or of runs that have more work to lose.
    Given less urgent jobs fill all targets, the last one just started
    When an urgent job of 1 task of 8 accelerators is accepted
    Then only the youngest run is stopped, and the urgent job starts when it has ended

  Scenario: Runs are given up at once when their VM reports another target
    # Guards against waiting for the lease of a target that its VM has already replaced.
    Given a job of 1 task of 8 accelerators runs
    When its VM reports a new target
    Then the task is ordered again with run 2

  Scenario: A new owner gives up runs of a VM that reports another target
    # Guards against waiting, after a takeover, for the lease of a target that its VM has already
    # replaced: the new owner knows the VM of the run only from the store.
    Given a job of 1 task of 8 accelerators runs
    And a new owner takes over
    When its VM reports a new target
    Then the task is ordered again with run 2

  Scenario: A silent target's runs are given up only after its lease must have lapsed
    # Guards against a second run of a task while the silent target may still run the first.
    Given a job of 1 task of 8 accelerators runs
    When its target is silent for 9 seconds
    Then the task is not ordered again
    When its target is silent for 1 more second
    Then the task is ordered again with run 2

  Scenario: The end of a run that had been given up still counts
    # Guards against repeating finished work: the target was only cut off, and reports the end after
    # the owner has ordered a second run.
    Given a job of 1 task of 8 accelerators runs
    When its target is silent for 10 seconds
    And the lost run is reported as done
    Then the job is completed and the second run is stopped

  Scenario: A draining target gets nothing new and its work moves with a checkpoint
    # Guards against work that stays on a draining target, or starts elsewhere from the beginning.
    Given a checkpointing job of 1 task of 8 accelerators runs
    When its target drains
    Then its run is stopped, and starts elsewhere from the checkpoint

  Scenario: A run that makes no progress is moved
    # Guards against a run that hangs and holds its accelerators for ever, although its target
    # reports it as running.
    Given a job of 1 task of 8 accelerators runs
    When its progress stalls for 9 seconds
    Then its run is stopped and starts elsewhere

  Scenario: The least urgent work leaves room for guarantees unless it keeps checkpoints
    # Guards against work that cannot be stopped without loss on accelerators that an organisation
    # with a guarantee may claim.
    Given an organisation with a guarantee of 24 accelerators uses 12 of them for urgent work
    When a least urgent job of 16 tasks of 1 accelerator is accepted
    Then at most 8 accelerators of it run

  Scenario: A new owner does not keep targets idle for guarantees that nobody uses
    # Guards against least urgent work that waits beside idle targets after each takeover, because
    # the sum of all guarantees, which may be as large as the fleet, is kept free.
    Given an organisation with a guarantee of 24 accelerators has had no urgent work
    And a new owner takes over
    When a least urgent job of 16 tasks of 1 accelerator is accepted
    Then all 16 tasks of it run at once

  Scenario: Guarantees that were used some time ago do not keep targets idle
    # Guards against least urgent work that waits for long after the last urgent job has ended.
    Given an organisation with a guarantee of 24 accelerators has had no urgent work
    And its last urgent job was accepted 9 seconds ago and has ended
    When a least urgent job of 32 tasks of 1 accelerator is accepted
    Then all 32 tasks of it run at once

  Scenario: Steps wait for their dependencies and occurrences for their time
    # Guards against a step that starts before the one it depends on, and against an occurrence of a
    # repeated job that starts early.
    When a job of two dependent steps, to run twice 10 seconds apart, is accepted
    Then the first step of the first occurrence runs alone
    And the second step follows when it is done
    And the second occurrence starts 10 seconds after the first

  Scenario: A cancelled job's runs are stopped and never started again
    # Guards against a cancelled job that keeps running, or whose stopped run counts as a failure
    # and is repeated.
    Given a job of 1 task of 8 accelerators runs
    When its caller cancels the job
    Then its run is stopped, and no start is ordered after its end

  Scenario: A new owner stops the runs of a job that was cancelled before it took over
    # Guards against a cancellation that no owner carries out because it was stored while there was
    # none, and against an end time that is taken from the owner's monotonic clock.
    Given a job of 1 task of 8 accelerators runs
    And its caller cancels the job while there is no owner
    When a new owner takes over
    Then its run is stopped, and no start is ordered after its end
    And the job's end is recorded in wall-clock time

  Scenario: A new owner sends no start to a target that has not listed its runs
    # Guards against a second start of a run that the target already has: its process has restarted
    # and does not know its runs yet.
    Given a job of 1 task of 8 accelerators runs
    And a new owner takes over
    When its target process has restarted and has not listed its runs yet
    Then no start is sent to it

  Scenario: A job accepted by an entry with a wrong clock counts from when the owner received it
    # Guards against a new job that counts as late because the entry that accepted it has a clock
    # that is behind the owner's.
    When an urgent job is accepted by an entry whose clock is 60 seconds behind
    Then it still counts as in time

  Scenario: A run that was never ordered is stopped
    # Guards against unknown runs that hold accelerators which the owner counts as free.
    When a target lists a run that was never ordered
    Then that run is stopped

  Scenario Outline: Random events from seed <seed> break no bound on the runs of a task
    # Guards against a task that runs twice at the same time, again after its end, or more often
    # than its attempt limit, after submissions, ends, failures, replaced targets and drains in
    # any order.
    When 400 random events from seed <seed> happen
    Then no task ran twice at the same time, after its end or beyond its attempt limit

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
