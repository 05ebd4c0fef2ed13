Feature: Units move as a whole off targets that leave, are slow or hang

  Scenario: A run that ends in the time left is let go on
    # Guards against throwing away work that would have been done before its target leaves.
    Given a job of 10 seconds that has run for 8 seconds
    When its target leaves in 4 seconds
    And the fleet runs on for 4 s
    Then the job is done, and no run of it was stopped
    And the counter moves_declined{reason="ends_in_time"} is 1

  Scenario: A run that has outlived its estimate is not counted on to end in time
    # Guards against a run that dies with its target, as an estimate that is used up says that it
    # ends at once.
    Given a hanging job of 3 seconds that has run for 4 seconds
    When its target leaves in 1.25 seconds
    And the fleet runs on for 1 s
    Then the job runs on a target that stays

  Scenario: Work with checkpoints goes on until it has to be stopped
    # Guards against stopping it as soon as its target drains, which leaves the room idle, and
    # against stopping it so late that its checkpoint is lost with the target.
    Given a job with checkpoints of 30 seconds that has run for 8 seconds
    When its target leaves in 4 seconds
    And the fleet runs on for 2 s
    Then no run of the job was stopped
    When the fleet runs on for 2 s
    Then the job runs on a target that stays
    And no work was thrown away
    And 1 unit was moved for the reason departure

  Scenario: A notice that is shorter than the first one counts
    # Guards against losing a checkpoint because only the first announcement of a drain was read.
    Given a job with checkpoints of 30 seconds that has run for 8 seconds
    When its target leaves in 60 seconds
    And the fleet runs on for 1 s
    And its target leaves in 2 seconds
    And the fleet runs on for 2 s
    Then no work was thrown away
    And the job runs on a target that stays

  Scenario: Work with checkpoints is stopped in time even if there is no room
    # Guards against losing the work since the last checkpoint because no other target has room.
    Given a job with checkpoints of 30 seconds that has run for 8 seconds
    And other work on all other targets
    When its target leaves in 4 seconds
    And the fleet runs on for 5 s
    Then no work was thrown away
    And the counter stops_without_room{reason="departure"} is 1

  Scenario: Work with checkpoints is stopped in time while nothing may be placed
    # Guards against losing the work since the last checkpoint because the operators' topic was not
    # read lately: that forbids starts, but its target leaves all the same.
    Given a job with checkpoints of 30 seconds that has run for 8 seconds
    When the operators' topic has not been read lately
    And its target leaves in 4 seconds
    And the fleet runs on for 5 s
    Then no work was thrown away
    And the job was started once
    When the operators' topic is read again
    And the fleet runs on for 1 s
    Then the job runs on a target that stays

  Scenario: Work without checkpoints moves at once if there is room
    # Guards against doing more work on a leaving target that will be thrown away.
    Given a job of 30 seconds that has run for 8 seconds
    When its target leaves in 4 seconds
    And the fleet runs on for 1 s
    Then the job runs on a target that stays
    And the log says what the move cost and saved

  Scenario: Work without checkpoints goes on if there is no room, and moves once there is
    # Guards against stopping a run that can start nowhere though it may end after all, and against
    # forgetting it then.
    Given a job of 30 seconds that has run for 8 seconds
    And other work on all other targets
    When its target leaves in 16 seconds
    And the fleet runs on for 2 s
    Then no run of the job was stopped
    And the counter moves_declined{reason="no_room"} is 1
    When work of another target ends
    And the fleet runs on for 1 s
    Then the job runs on a target that stays

  Scenario: A gang is judged as one, and keeps the room that it holds on targets that stay
    # Guards against a gang that ends because one member is stopped while there is no room for the
    # whole, and against one that does not move, as room for the whole is not free beside its own.
    Given a gang of 3 tasks of 30 seconds that has run for 8 seconds
    When the target of one member leaves in 6 seconds
    And the fleet runs on for 1.5 s
    Then all 3 tasks run on targets that stay, with one run number
    And all 3 runs were stopped in one pass
    And 1 unit was moved for the reason departure

  Scenario: A gang without room for all members goes on
    # Guards against stopping one member on a leaving target, which ends the whole gang for nothing.
    Given a gang of 3 tasks of 30 seconds that has run for 8 seconds
    And other work on all other targets
    When the target of one member leaves in 16 seconds
    And the fleet runs on for 4 s
    Then no run of the job was stopped

  Scenario: Tasks that move keep to the limit of their step on one target
    # Guards against more tasks of a step on one target than it allows, because tasks that leave
    # another target at the same time are not counted while they are on their way.
    Given a job of 5 tasks of 30 seconds, at most 2 on one of 3 targets, that has run for 8 seconds
    When a target with 2 of its tasks leaves in 14 seconds
    And the fleet runs on for 3 s
    Then no target has run more than 2 of its tasks at once
    And 1 unit was moved for the reason departure

  Scenario: Work without checkpoints that cannot end in time any more is stopped without room
    # Guards against work on a leaving target for seconds that are thrown away with it.
    Given a job of 30 seconds that has run for 8 seconds
    And other work on all other targets
    When its target leaves in 6 seconds
    And the fleet runs on for 1 s
    Then the counter stops_without_room{reason="departure"} is 1
    When work of another target ends
    And the fleet runs on for 1 s
    Then the job runs on a target that stays

  Scenario: Reserved room is not given to lower-ranked work while the stopped runs end
    # Guards against a unit that is stopped for room that another job takes meanwhile.
    Given a job of 30 seconds that has run for 8 seconds
    And stops take 2 seconds
    And other work on all other targets but one
    When its target leaves in 10 seconds
    And the fleet runs on for 0.5 s
    And 4 more jobs of its own and of lower priority are submitted
    And the fleet runs on for 2.5 s
    Then the job runs on a target that stays
    And the counter moves_completed is 1

  Scenario: Reserved room is not kept for a wider unit that fits nowhere yet
    # Guards against a unit that is stopped for room which a blocked gang then collects.
    Given a job of 30 seconds that has run for 8 seconds
    And stops take 1 second
    And other work on all other targets but one
    When its target leaves in 10 seconds
    And the fleet runs on for 0.5 s
    And a gang "wide" of 3 tasks of 5 seconds is submitted
    And the fleet runs on for 1.5 s
    Then the job runs on a target that stays
    And the counter moves_completed is 1

  Scenario: An urgent job within its guarantee gets reserved room
    # Guards against a guarantee that is not served within its time because room is reserved.
    Given a covered job on all targets but two, and a job of 30 seconds that has run for 8 seconds
    And stops take 3.5 seconds
    When its target leaves in 10 seconds
    And the fleet runs on for 0.5 s
    And an urgent job within its guarantee of 24 accelerators is submitted
    And the fleet runs on for 0.5 s
    Then the urgent job runs beside it
    And the counter reservations_given_up{reason="guarantee"} is 1

  Scenario: Reserved room is given up when stops take too long
    # Guards against room that stays idle because a runner does not carry out a stop.
    Given a job of 30 seconds that has run for 8 seconds
    And stops take 30 seconds
    And other work on all other targets but one
    When its target leaves in 20 seconds
    And the fleet runs on for 1 s
    And a job "next" of 5 seconds is submitted
    And the fleet runs on for 2 s
    Then the job "next" does not run
    When the fleet runs on for 3 s
    Then the job "next" runs
    And the counter reservations_given_up{reason="late"} is 1

  Scenario: The leaving target crashes before the runs have ended
    # Guards against a unit that is not started, or started twice, as its stop is never confirmed.
    Given a job of 30 seconds that has run for 8 seconds
    And stops take 2 seconds
    When its target leaves in 10 seconds
    And the fleet runs on for 0.5 s
    And its target crashes
    And the fleet runs on for 0.5 s
    Then the job runs on the reserved target, as its second run

  Scenario: The new target dies while the unit is on its way
    # Guards against waiting for a target that is gone, and against a reservation that leaks.
    Given a job of 30 seconds that has run for 8 seconds
    And stops take 2 seconds
    When its target leaves in 10 seconds
    And the fleet runs on for 0.5 s
    And the reserved target crashes
    And the fleet runs on for 2.5 s
    Then the job runs on a target that stays
    And the counter reservations_given_up{reason="target_down"} is 1

  Scenario: A second notice hits the reserved target
    # Guards against starting work on a target that has announced its departure meanwhile.
    Given a job of 30 seconds that has run for 8 seconds
    And stops take 2 seconds
    When its target leaves in 10 seconds
    And the fleet runs on for 0.5 s
    And the reserved target leaves in 2 seconds
    And the fleet runs on for 2.5 s
    Then the job runs on a target that stays
    And the counter reservations_given_up{reason="target_left"} is 1

  Scenario: Notices follow a unit to each target that it moves to
    # Guards against work that is moved without end, and never done.
    Given 8 targets and a job of 30 seconds that has run for 8 seconds
    When each target that it runs on leaves in 10 seconds, 5 times in turn
    Then 3 units were moved for the reason departure
    And the counter moves_declined{reason="moved_often"} is 1

  Scenario: Work that was moved too often is stopped just before its target leaves
    # Guards against work that waits for the lease of a runner that has left: the end of a run that
    # goes on until then is not proven.
    Given 8 targets and a job of 30 seconds that has run for 8 seconds
    When each target that it runs on leaves in 10 seconds, 5 times in turn
    Then the counter moves_declined{reason="moved_often"} is 1
    When the fleet runs on for 5 s
    Then 3 units were moved for the reason departure
    When the fleet runs on for 1.5 s
    Then the counter stops_without_room{reason="departure"} is 1
    And the job runs on a target that stays

  Scenario: The owner dies between the stop and the start
    # Guards against a unit that starts twice or never, as reservations die with the owner.
    Given a job of 30 seconds that has run for 8 seconds
    And stops take 1 second
    When its target leaves in 10 seconds
    And the fleet runs on for 0.5 s
    And another owner takes over
    And the fleet runs on for 3 s
    Then the job runs on a target that stays
    And the job was started twice

  Scenario: The job is cancelled while it is on its way
    # Guards against room that stays reserved for a job that has ended.
    Given a job of 30 seconds that has run for 8 seconds
    And stops take 3 seconds
    And other work on all other targets but one
    When its target leaves in 10 seconds
    And the fleet runs on for 0.5 s
    And the moving job is cancelled
    And a job "next" of 5 seconds is submitted
    And the fleet runs on for 0.5 s
    Then the job "next" runs
    And the counter reservations_given_up{reason="job_ended"} is 1

  Scenario: The store is away, so that starts cannot be stored
    # Guards against a start that is ordered before it is stored, against losing the room of the
    # unit that waits for it, and against stopping more runs that could not start either.
    Given a job of 30 seconds that has run for 8 seconds
    And a second job of 30 seconds that has run for 4 seconds
    When the store goes away
    And its target leaves in 10 seconds
    And the fleet runs on for 2 s
    And the target of the second job leaves in 10 seconds
    And the fleet runs on for 2 s
    Then the job was started once
    And no run of the job "second" was stopped
    And the counter moves_declined{reason="store_behind"} is 1
    When the store is back
    And the fleet runs on for 2 s
    Then the job runs on a target that stays
    And the job "second" runs on a target that stays

  Scenario: A target that leaves soon gets only work that ends in time
    # Guards against starting work on a target that announced its departure and still accepts work,
    # and against keeping its room for a job that may not use it.
    Given urgent work on all targets but one, which leaves in 8 seconds without draining
    When an urgent job "long" of 20 seconds is submitted
    And the fleet runs on for 0.5 s
    And a job "short" of 4 seconds is submitted
    And the fleet runs on for 1 s
    Then the job "short" runs
    And the job "long" does not run

  Scenario: A run that misses its objective on a slow target moves once
    # Guards against late results from slow targets, and against moving such work again and again.
    Given a job of 10 seconds that has run for 2 seconds, on a target 6 times as slow
    When the fleet runs on for 2 s
    Then the job runs on another target
    And 1 unit was moved for the reason slow
    When its new target turns out to be as slow
    And the fleet runs on for 4 s
    Then 1 unit was moved for the reason slow

  Scenario: A run on a slow target that is in time stays there
    # Guards against throwing away work whose job meets its objective where it is.
    Given a job of 10 seconds that has run for 2 seconds, on a target 1.5 times as slow
    When the fleet runs on for 4 s
    Then no run of the job was stopped

  Scenario: A run on a slow target stays there if the move costs more than it saves
    # Guards against throwing away more work than the objective of a job is worth.
    Given a job of 10 seconds that has run for 8 seconds, on a target 3.5 times as slow
    When the fleet runs on for 2 s
    Then no run of the job was stopped
    And the counter moves_declined{reason="not_worth"} is 1

  Scenario: A run of a long task on a target of usual speed stays there
    # Guards against throwing away urgent work whose task is longer than expected: its pace tells how
    # long it takes here, and the old expectation would tell how long it takes elsewhere.
    Given an urgent job expected to take 10 seconds that takes 30, on a target 1.25 times as slow
    When the fleet runs on for 6 s
    Then no run of the job was stopped

  Scenario: A stalled unit moves if there is room
    # Guards against a task that hangs with its target for ever.
    Given a hanging job of 10 seconds that has run for 6 seconds
    Then 1 unit was moved for the reason stalled
    And the job runs on another target

  Scenario: A stalled unit without room is stopped later
    # Guards against stopping a run that can start nowhere else, and against a run that holds room
    # without end that other work could use.
    Given other work on all other targets, and a hanging job of 10 seconds
    When the fleet runs on for 6 s
    Then no run of the job was stopped
    When the fleet runs on for 5 s
    Then the counter stops_without_room{reason="stalled"} is 1

  Scenario: Six of sixty targets leave at once under a full fleet
    # Guards against throwing away the work of a tenth of the fleet: stopping what could end or can
    # start nowhere else, losing checkpoints, and delaying guarantees for the work that moves.
    Given a full fleet of 60 targets and more work that waits
    When six of the targets announce that they leave in 4 seconds
    And an urgent job within its guarantee is submitted each second, for 8 seconds
    Then no run with checkpoints was lost
    And no run that could end before its target left was stopped
    And each run without checkpoints that was moved started again within 2 seconds
    And no other run without checkpoints was stopped that might have ended in time
    And each urgent job started within its time

  Scenario: A rollout passes over half of the fleet
    # Guards against placing urgent work on targets that are to be replaced next.
    Given a half-full fleet of 60 targets, whose first half is replaced by 3 targets each second
    When an urgent job of 3 seconds is submitted each half second for 12 seconds
    Then from second 6 on, no run of an urgent job was stopped or lost
    And from second 6 on, every urgent job is done in time
    And no unit was moved more than 3 times

  Scenario: Work with low slack waits for a target that has been replaced
    # Guards against urgent work that is lost, as all free targets are to be replaced while it runs.
    Given 12 targets, which are replaced by 3 each second
    When an urgent job of 3 seconds is submitted after 2.5 seconds of the rollout
    Then it is done in time by its first run, on a target that was replaced

  Scenario Outline: Departures that are no rollout do not keep work waiting
    # Guards against urgent work that waits beside free targets, or goes to targets that flap, as
    # <departures> were taken for a rollout.
    Given a fleet with <departures>
    When an urgent job of 3 seconds is submitted after <delay> seconds of the rollout
    Then it starts at once, on a target that stays

    Examples:
      | departures           | delay |
      | slow departures      | 8.5   |
      | departures at once   | 1.5   |
      | targets that flap    | 3.5   |
