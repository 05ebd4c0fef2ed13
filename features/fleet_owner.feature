Feature: The owner of the schedule keeps what it promised, whatever its targets do

  Background:
    Given 4 targets of 8 accelerators, two in each rack

  Scenario: No start is ordered before it is in the store
    When a job of 1 task of 8 accelerators is accepted
    Then no start is ordered until the change is stored

  Scenario: An end is acknowledged only once it is in the store
    Given a job of 1 task of 8 accelerators runs
    When its run ends as done
    Then the end is acknowledged only after the change is stored

  Scenario: A gang is placed whole, in one rack
    When a job of a gang of 2 tasks of 8 accelerators is accepted
    Then both tasks are ordered with one run number in one rack

  Scenario: A gang that fits nowhere is not started in part
    When a job of a gang of 5 tasks of 8 accelerators is accepted
    Then nothing is ordered

  Scenario: A gang that lost a member starts again as a whole
    Given a job of a gang of 2 tasks of 8 accelerators runs
    When one run of it ends as failed
    Then the other member is stopped, and both start again with run 2 once it has ended

  Scenario: A job fails after its attempts and not before
    Given a job of 1 task of 8 accelerators runs
    When its runs end as failed until the job ends
    Then 2 runs were ordered, on different targets, and the job has failed

  Scenario: Urgent work within its guarantee stops what loses least
    Given less urgent jobs fill all targets, the last one just started
    When an urgent job of 1 task of 8 accelerators is accepted
    Then only the youngest run is stopped, and the urgent job starts when it has ended

  Scenario: Runs are given up at once when their machine reports another target
    Given a job of 1 task of 8 accelerators runs
    When its machine reports a new target
    Then the task is ordered again with run 2

  Scenario: A new owner gives up runs of a machine that reports another target
    Given a job of 1 task of 8 accelerators runs
    And a new owner takes over
    When its machine reports a new target
    Then the task is ordered again with run 2

  Scenario: A silent target's runs are given up only after its lease must have lapsed
    Given a job of 1 task of 8 accelerators runs
    When its target is silent for 9 seconds
    Then the task is not ordered again
    When its target is silent for 1 more second
    Then the task is ordered again with run 2

  Scenario: The end of a run that had been given up still counts
    Given a job of 1 task of 8 accelerators runs
    When its target is silent for 10 seconds
    And the lost run turns out to be done
    Then the job is completed and the second run is stopped

  Scenario: A draining target gets nothing new and its work moves with a checkpoint
    Given a checkpointing job of 1 task of 8 accelerators runs
    When its target drains
    Then its run is stopped, and starts elsewhere from the checkpoint

  Scenario: A run that makes no progress is moved
    Given a job of 1 task of 8 accelerators runs
    When its progress stands still for 9 seconds
    Then its run is stopped and starts elsewhere

  Scenario: The least urgent work leaves room for guarantees unless it keeps checkpoints
    Given an organisation with a guarantee of 24 accelerators has urgent work
    When a least urgent job of 16 tasks of 1 accelerator is accepted
    Then at most 8 accelerators of it run

  Scenario: Steps wait for their dependencies and occurrences for their time
    When a job of two dependent steps, to run twice 10 seconds apart, is accepted
    Then the first step of the first occurrence runs alone
    And the second step follows when it is done
    And the second occurrence starts 10 seconds after the first

  Scenario: A cancelled job's runs are stopped and never started again
    Given a job of 1 task of 8 accelerators runs
    When its caller cancels the job
    Then its run is stopped, and nothing is ordered after its end

  Scenario: A new owner stops the runs of a job that was cancelled before it took over
    Given a job of 1 task of 8 accelerators runs
    And its caller cancels the job while there is no owner
    When a new owner takes over
    Then its run is stopped, and nothing is ordered after its end
    And the job's end is dated by the time of day

  Scenario: A new owner sends no start to a target that has not listed its runs
    Given a job of 1 task of 8 accelerators runs
    And a new owner takes over
    When its target process has started again and has not listed its runs
    Then no start is sent to it

  Scenario: A job accepted by an entry with a wrong clock counts as accepted when it came in
    When an urgent job is accepted by an entry whose clock is 60 seconds behind
    Then it still counts as being in time

  Scenario: Runs that nobody asked for are stopped
    When a target lists a run that was never ordered
    Then that run is stopped

  Scenario Outline: Any order of events under seed <seed> keeps one run a task and attempts in bounds
    When 400 random events from seed <seed> happen
    Then no task ever ran twice at a time, after its end, or beyond its attempts

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
