Feature: The owner plans with measured run times, guarantees and preemption costs

  Background:
    Given an owner with 4 targets of 8 accelerators

  Scenario: Work goes only to targets of its queue's service
    # Guards against starts on runners of another service in a deployment with several services.
    Given two of the targets belong to another service
    When a job of 4 tasks of 8 accelerators is submitted
    Then it runs on the two targets of its own service only

  Scenario: Urgent work waits for a run that is about to end instead of stopping one
    # Guards against throwing away the work of a run although another one leaves room within a
    # second, long before the guarantee has to be served.
    Given less urgent work on all targets, one run of which is about to end
    When an urgent job within its guarantee is submitted
    Then no run is stopped, and the urgent job starts when that run has ended

  Scenario: Urgent work with little slack does not wait for a run to end
    # Guards against a short urgent job that becomes late because it waits for room for as long as
    # its whole objective allows.
    Given less urgent work on all targets, one run of which is about to end
    When an urgent job of less than half a second is submitted
    Then a run has been stopped, and the urgent job runs

  Scenario: Urgent work does not wait too long for a run that should have ended
    # Guards against a guarantee that is not served in time because of a wrong estimate.
    Given less urgent work on all targets, one run of which is about to end
    When an urgent job within its guarantee is submitted, and that run goes on for 2 seconds
    Then a run has been stopped, and the urgent job runs

  Scenario: Work that was stopped before is not stopped again and again
    # Guards against a storm of urgent jobs that stops and restarts the same work each time.
    Given two equal runs on one target, one of which is the third run of its task
    Then the other one is stopped first

  Scenario: A running job counts as in time until its runs would end too late
    # Guards against a running job that counts as late, and is stopped first, because a new start
    # would miss the objective although its present run will not.
    Given a job of 1 task of 8 accelerators is nearly done, 58 of its 61 seconds used
    Then the job counts as in time
    And a job that never started and was submitted with it counts as late

  Scenario: Run times are learned from the progress of a run, not only from its end
    # Guards against planning with a caller's estimate that is several times too long or too short
    # until a first run has ended.
    Given a job of 1 task of 8 accelerators, estimated at 20 seconds, is submitted
    When its run makes 10 percent a second for 3 seconds
    Then the run is expected to end in 7 seconds
    And a task of the job is expected to take 10 seconds

  Scenario: Delayed reports that arrive together do not shorten a run's estimated time
    # Guards against run times near zero after a network cut, when the link delivers the reports
    # of several seconds at once; such run times make jobs count as late.
    Given a job of 1 task of 8 accelerators, estimated at 20 seconds, is submitted
    When reports of 0, 30 and 60 percent, sent 5 seconds apart, arrive at the same time
    Then a task of the job is expected to take 17 seconds

  Scenario: A resumed run is expected to take only the time of the work after its checkpoint
    # Guards against a resumed run that counts as nearly done, because the progress up to the
    # checkpoint is taken as made by this run, or as just begun, because it is ignored.
    Given a job of 1 task of 8 accelerators, estimated at 20 seconds, is submitted
    When its run starts at 50 percent and makes 5 percent a second for 4 seconds
    Then the run is expected to end in 6 seconds

  Scenario: A small urgent job keeps its guarantee behind one that exceeds it
    # Guards against a large job that uses up a guarantee although it does not fit into it.
    Given urgent jobs of 4 and of 1 tasks of an organisation with 24 guaranteed accelerators
    Then only the small one is within the guarantee

  Scenario: Late urgent work uses free accelerators that are covered by a guarantee
    # Guards against late urgent work that never starts although targets are idle.
    Given an urgent job of 2 tasks of 8 accelerators that must miss its objective
    When the owner plans
    Then both tasks of the late job run

  Scenario: A job's loss by being late counts once, however many of its runs are stopped
    # Guards against urgent work that waits behind many small runs of one job, because the loss of
    # that job being late is added for each run, so that stopping them seems too costly.
    Given a target full of 8 small runs of one job that would miss its objective if stopped
    Then room for one task of 8 accelerators costs their work and the loss of one late job

  Scenario: A finished member of a gang waits for the others
    # Guards against stopping a whole gang shortly before its end: a member at 100 percent makes
    # no more progress and looks as if it hung.
    Given a gang of 2 tasks, one of which is at 100 percent while the other still works
    When 20 more seconds pass
    Then no member of the gang was stopped

  Scenario: A gang with a member that makes no progress is stopped
    # Guards against a gang that waits for a hanging member for ever.
    Given a gang of 2 tasks, one of which is at 100 percent while the other makes no progress
    When 20 more seconds pass
    Then the gang was stopped and has started again

  Scenario: Stopping two members of one gang counts its lost work once
    # Guards against urgent work that waits because the lost work of a gang is counted for each
    # member, so that stopping the gang seems too costly.
    Given a target that holds both members of a gang
    Then room for one task of 8 accelerators costs the work of the gang once

  Scenario: The log tells why work waits, once for each reason
    # Guards against a late job whose log lines do not say what it waited for, and against one
    # line for each planning round.
    Given less urgent work on all targets
    When a less urgent job of 1 task of 8 accelerators is submitted and waits for 3 seconds
    Then one line says that it waits for room

  Scenario: Room for which runs were stopped is not reserved for a gang that fits nowhere yet
    # Guards against runs that are stopped and started in turn: a gang that waits takes a part of the
    # room that was freed for another unit, which then stops runs elsewhere, while the stopped ones
    # start again in the rest.
    Given 8 targets, and 64 tasks of the lowest priority that hold all of their 64 accelerators
    When a unit of 8 accelerators has waited until it may stop runs, beside a gang that may not
    Then it starts once the 8 runs that were stopped for it have ended, and no others are stopped
