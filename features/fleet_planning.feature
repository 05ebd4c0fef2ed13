Feature: The owner of the schedule plans with what runs really take

  Background:
    Given an owner with 4 targets of 8 accelerators

  Scenario: Work goes only to targets of its queue's service
    # Guards against starts on runners of another service where a deployment has several.
    Given two of the targets belong to another service
    When a job of 4 tasks of 8 accelerators is submitted
    Then it runs on the two targets of its own service only

  Scenario: A job that is under way counts as in time until its runs would end too late
    # Guards against running work that loses its rank, and is stopped first, once a fresh start
    # would be too late.
    Given a job of 1 task of 8 accelerators is nearly done, 58 of its 61 seconds used
    Then the job counts as in time
    And a job that never started and was submitted with it counts as late

  Scenario: Run times are learned from the progress of a run, not only from its end
    # Guards against plans on callers' estimates that are wrong by a factor.
    Given a job of 1 task of 8 accelerators, estimated at 20 seconds, is submitted
    When its run makes 10 percent a second for 3 seconds
    Then the run is expected to end in 7 seconds
    And a task of the job is expected to take 10 seconds

  Scenario: Reports that a link held up do not shorten a run's time
    # Guards against run times of nearly nothing after a cut, which make jobs count as late.
    Given a job of 1 task of 8 accelerators, estimated at 20 seconds, is submitted
    When reports of 0, 30 and 60 percent, sent 5 seconds apart, arrive together
    Then a task of the job is expected to take 17 seconds

  Scenario: A resumed run is expected to do only what its checkpoint left
    # Guards against a resumed run that counts as nearly done, or as just begun.
    Given a job of 1 task of 8 accelerators, estimated at 20 seconds, is submitted
    When its run starts at 50 percent and makes 5 percent a second for 4 seconds
    Then the run is expected to end in 6 seconds

  Scenario: A small urgent job keeps its guarantee behind one that exceeds it
    # Guards against a large job that uses up a guarantee which it does not fit into.
    Given urgent jobs of 4 and of 1 tasks of an organisation with 24 guaranteed accelerators
    Then only the small one is within the guarantee

  Scenario: Late urgent work uses free accelerators that a guarantee may claim
    # Guards against urgent work that never starts once it is late, beside idle targets.
    Given an urgent job of 2 tasks of 8 accelerators that can only be late
    When the owner plans
    Then both tasks of the late job run

  Scenario: What a job loses by being late counts once, however many of its runs are stopped
    # Guards against urgent work that waits behind many small runs of one job.
    Given a target that is full with 8 small runs of one job that would miss its objective
    Then room for one task of 8 accelerators costs their work and one lateness

  Scenario: A member of a gang that is done waits for the others
    # Guards against whole gangs that are thrown away shortly before their end.
    Given a gang of 2 tasks, one of which is at 100 percent while the other still works
    When 20 more seconds pass
    Then no member of the gang was stopped

  Scenario: A member of a gang that stands still is stopped
    # Guards against a gang that waits for a hanging member for good.
    Given a gang of 2 tasks, one of which is at 100 percent while the other stands still
    When 20 more seconds pass
    Then the gang was stopped and has started again

  Scenario: Stopping two members of one gang throws its work away once
    # Guards against urgent work that waits as a gang's loss is counted for each member.
    Given a target that holds both members of a gang
    Then room for one task of 8 accelerators costs the work of the gang once

  Scenario: The log tells why work waits, once for each reason
    # Guards against a late job whose log lines do not tell what it waited for.
    Given less urgent work on all targets
    When a less urgent job of 1 task of 8 accelerators is submitted and waits for 3 seconds
    Then one line says that it waits for room
