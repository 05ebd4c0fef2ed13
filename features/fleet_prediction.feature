Feature: The owner learns how long tasks run

  Run times are learned as distributions by queue, organisation, estimate and siblings.

  Scenario: Long tasks count although they have not ended
    # Guards against a model that learns from ended tasks only: tasks that end early are the short
    # ones, so that everything seems short in a burst that follows.
    Given a model that predicts run times
    And 12 tasks of 2 seconds of the queue have ended, estimated at 2 seconds
    When the progress of 12 tasks shows that they take 20 seconds, estimated at 20 seconds
    Then a task estimated at 20 seconds is expected to take 14 to 24 seconds
    And it ends within 18 to 60 seconds at the high quantile

  Scenario: The pace of a run counts from its start and not from the listing before it
    # Guards against run times that are up to a second too long, as a start is reported as soon as it
    # is confirmed, beside the runner's last listing. Short urgent work then seems to have more time.
    Given an owner that predicts run times
    When a run is reported 0.9 seconds after the last listing, and has made 50 percent 2 seconds later
    Then it has shown that its task takes 4 seconds

  Scenario Outline: Callers' estimates that are off by a known share are corrected
    # Guards against planning with estimates that are off by 20 to 90 percent, or with the mean of a
    # queue whose jobs differ by more than the estimates do.
    Given a model that predicts run times
    When 300 tasks with a spread of <spread> have run, with estimates off by up to <error> percent
    Then half of 300 further tasks take 0.85 to 1.15 times as long as expected
    And 90 percent of them take less than <ratio> times as long as expected
    And 82 to 97 percent of them end within the high quantile

    Examples:
      | spread | error | ratio |
      | 1.0    | 20    | 1.4   |
      | 1.0    | 50    | 2.1   |
      | 0.3    | 90    | 1.65  |
      | 0.5    | 80    | 1.75  |

  Scenario: Impossible estimates do not hide how accurate the others are
    # Guards against an accuracy that seems as low as if all callers estimated at random, because a
    # part of them states the same large time for all tasks.
    Given a model that predicts run times
    When 300 tasks with a spread of 1.0 have run, with estimates off by up to 20 percent
    And 200 tasks with a spread of 1.0 have run, all estimated at 20000 seconds
    Then half of 300 further tasks take 0.85 to 1.15 times as long as expected
    And 90 percent of them take less than 1.4 times as long as expected

  Scenario: An organisation whose estimates are too low does not spoil those of the others
    # Guards against one accuracy of estimates for all callers.
    Given a model that predicts run times
    When 40 tasks of one organisation take as long as estimated, and 40 of another 4 times as long
    Then a task of the first organisation is expected to take 0.9 to 1.2 times its estimate
    And a task of the second organisation is expected to take 3.3 to 4.4 times its estimate

  Scenario: Three tasks in a hundred that take seven times as long do not stretch the others
    # Guards against a mean that a few long tasks pull up, so that jobs count as late.
    Given a model that predicts run times
    When 300 tasks of 10 seconds have run, of which 3 in 100 took 70 seconds
    Then a task estimated at 10 seconds is expected to take 9 to 11 seconds
    And a task that has run for 30 seconds is expected to take 50 to 110 seconds

  Scenario: Siblings tell more than the estimate
    # Guards against a wrong estimate that goes on to count after tasks of the same step have run.
    Given a model that predicts run times
    And 100 jobs of 4 equal tasks, with estimates off by up to 90 percent
    When 3 tasks of a job estimated at 10 seconds take 30 seconds
    Then its other tasks are expected to take 26 to 34 seconds
    And they end within 30 to 45 seconds at the high quantile

  Scenario: One sibling that takes seven times as long does not decide for the others
    # Guards against a step that counts as hopeless after one of its tasks met with a long input.
    Given a model that predicts run times
    When 5 tasks of a job take 10, 10, 70, 10 and 10 seconds
    Then its other tasks are expected to take 9 to 12 seconds

  Scenario: Runs that were stopped count as at least as long as they ran
    # Guards against a bias to short tasks where the long ones are preempted or lost before they end.
    Given a model that predicts run times
    And 50 tasks have run for 5 to 50 seconds without an estimate
    When 25 runs are stopped after 40 seconds
    Then a task without an estimate is expected to take 34 to 50 seconds

  Scenario: Runs that were stopped early say nothing
    # Guards against a storm of preemptions that makes all tasks seem short.
    Given a model that predicts run times
    And 50 tasks have run for 5 to 50 seconds without an estimate
    When 100 runs are stopped after 1 second
    Then a task without an estimate is expected to take 24 to 31 seconds

  Scenario: A gang that was stopped at its start does not disturb the sample of its next run
    # Guards against samples that mix the members of two runs, so that no later run of the gang counts
    # with its whole run time.
    Given an owner that predicts run times
    When 2 of the 4 members of a gang show that they take at least 1 s, and its next run takes 16 s
    Then 1 run time of 16 seconds was learned

  Scenario: A gang takes as long as its slowest member
    # Guards against gangs that seem short because their fast members show their own pace, and that
    # count once for each member.
    Given a model that predicts run times
    When 6 gangs run whose members take 10, 10, 10 and 16 seconds
    Then a gang of the queue is expected to take 15 to 17 seconds

  Scenario Outline: An impossible estimate changes nothing for other jobs
    # Guards against a ratio near zero or beyond all bounds that one caller feeds into the model.
    Given a model that predicts run times
    And 40 tasks of 10 seconds of the queue have ended, estimated at 10 seconds
    When 40 tasks of 10 seconds of the queue have ended, estimated at <estimate> seconds
    Then a task estimated at 10 seconds is expected to take 9 to 11 seconds
    And a task estimated at <estimate> seconds is expected to take 9 to 11 seconds

    Examples:
      | estimate |
      | 0        |
      | 1000000  |
      | 3600     |

  Scenario: Without anything learned the estimate counts
    # Guards against a first owner that cannot plan, and against an estimate of 0 or 10^9 ms there.
    Given a model that predicts run times
    Then a task estimated at 7 seconds is expected to take 6 to 8 seconds
    And a task estimated at 0 seconds is expected to take 9 to 11 seconds
    And a task estimated at 1000000 seconds is expected to take 9 to 11 seconds

  Scenario: Run times that change are learned again
    # Guards against a model that thousands of old samples keep from learning.
    Given a model that predicts run times
    And 3000 tasks of 10 seconds of the queue have ended, estimated at 10 seconds
    When 1000 tasks of 20 seconds of the queue have ended, estimated at 10 seconds
    Then a task estimated at 10 seconds is expected to take 19 to 21 seconds

  Scenario: Each run counts once, when it has shown its pace or when it ends
    # Guards against runs that count twice, by their progress and by their end, and against long runs
    # that do not count before they end.
    Given an owner that predicts run times
    When a run makes 10 percent a second for 4 seconds
    Then 1 run time of 10 seconds was learned
    When the run ends after 8 further seconds
    Then 1 run time of 10 seconds was learned

  Scenario: A run that is lost counts as at least as long as it made progress
    # Guards against lost long runs that never count, and against a target that hangs: the time
    # without progress says nothing of the task.
    Given an owner that predicts run times
    When a run makes 1 percent a second for 10 seconds, hangs for 3 seconds and is stopped
    Then 1 lower bound of 10 seconds was learned

  Scenario: Progress that goes backwards is counted and not measured
    # Guards against an end in the far past or future, projected from progress that was taken back.
    Given an owner that predicts run times
    When a run reports 20, 40, 10, 20 and 30 percent, one second apart
    Then the run is expected to end in 7 seconds
    And the regression was counted once

  Scenario: A run that outlasts its expectation is not expected to end at once
    # Guards against urgent work that waits for a run, and against moves that are left undone, because
    # a run without progress that is over its time seems to end in 0 seconds.
    Given an owner that predicts run times
    When a run of a task estimated at 5 seconds has run for 20 seconds without progress
    Then the run is expected to go on for at least 3 seconds

  Scenario: Run times are compared with what was expected at the start
    # Guards against a model whose errors nobody sees, and against a comparison with an expectation
    # that the run itself has corrected.
    Given an owner that predicts run times
    When a run of a task estimated at 5 seconds ends after 10 seconds
    Then the log states that it took 2 times the 5 seconds expected, above the high quantile
    And a run time of more than 1.5 and at most 3 times the expected one was counted

  Scenario: Whether a run ends in time for a drain depends on what a stop would lose
    # Guards against one quantile for all uses: a run with checkpoints stops while there is time, and
    # one without them, which would lose its work, goes on as long as it rather ends in time.
    Given an owner that predicts run times
    When runs with and without checkpoints are expected to take 7 to 10 of the 8 seconds left
    Then only the run with checkpoints is stopped

  Scenario: A long task may go without progress for longer before it counts as stalled
    # Guards against long tasks that are stopped and started again and again, because they make a
    # percent more rarely than tasks of the median run time do.
    Given an owner that predicts run times
    When a run of a task estimated at 30 seconds makes no progress
    Then it does not count as stalled after 12 seconds, but does after 17 seconds

  Scenario: Urgent work waits only for a run that almost certainly ends soon
    # Guards against a guarantee that is served too late, because a run that ends soon at the median
    # goes on.
    Given an owner that predicts run times
    When a run is 0.9 seconds from its expected end, by progress that may be out of date
    Then it does not count as ending soon

  Scenario Outline: A run whose beginning the owner did not see is not taken for a short one
    # Guards against expectations that shrink after each takeover, because only the rest of a run that
    # was under way is counted.
    Given an owner that predicts run times
    When a run is at <percent> percent when the owner first sees it, and ends <seconds> s later
    Then <count> run time of <learned> seconds was learned

    Examples:
      | percent | seconds | count | learned |
      | 50      | 5       | 1     | 10.0    |
      | 80      | 2       | 0     | 10.0    |

  Scenario: A gang member that waits for the others does not end soon
    # Guards against urgent work that waits for a run with 100 percent done, which holds its room
    # until the slowest member of its gang ends.
    Given an owner that predicts run times
    And a gang of 2 tasks estimated at 20 seconds
    When one member has done all of its work after 10 seconds, and the other half
    Then neither member counts as ending soon

  Scenario: The next owner goes on with what was learned
    # Guards against callers' estimates that count again after each change of the owner.
    Given an owner task that predicts run times and keeps them in a store
    When 40 tasks take 4 times their estimate, and the owner dies 6 seconds later
    Then the next owner expects 3.5 to 4.5 times the estimate

  Scenario: An owner plans while the store does not give the learned records
    # Guards against a takeover that waits for the records, or that writes over them unread.
    Given an owner task that predicts run times and keeps them in a store
    And 40 tasks took 4 times their estimate, and the owner has died 6 seconds later
    When the next owner takes over while the topic of learned records is away for 30 seconds
    Then it starts a job meanwhile and writes no learned record
    And it expects 3.5 to 4.5 times the estimate once the topic is back

  Scenario Outline: A record that makes no sense is ignored
    # Guards against an owner that fails at, or learns from, a record of another version or of noise.
    Given an owner task that predicts run times and keeps them in a store
    And the store holds a learned record <record>
    When the owner takes over
    Then the record is counted as unreadable, and the estimate counts
    And the owner writes its own record once it has learned something

    Examples:
      | record                          |
      | of noise                        |
      | of another version              |
      | whose quantiles are out of order |
      | of no bytes but one             |

  Scenario: An old owner that writes late changes nothing
    # Guards against a paused owner that puts its old record over the newer one.
    Given an owner task that predicts run times and keeps them in a store
    And 40 tasks took 4 times their estimate, and the owner has died 6 seconds later
    When the next owner takes over, and the old one writes that tasks take half their estimate
    Then the old owner's write is refused
    And a third owner expects 3.5 to 4.5 times the estimate

  Scenario: A write without an answer is repeated as it was
    # Guards against a record that the store drops, because it takes a newer value under the same
    # sequence number for the repeat of one that it has carried out.
    Given an owner task that predicts run times and keeps them in a store
    When the answer to a write is lost, the store is busy, and more is learned meanwhile
    Then both records are in the store in order

  Scenario: A write with an unreadable answer is repeated as it was
    # Guards against the loss of a record, and of the next one under the same sequence number, as the
    # store has carried out an append whose answer is damaged.
    Given an owner task that predicts run times and keeps them in a store
    When the answer to a write is damaged, the store is busy, and more is learned meanwhile
    Then both records are in the store in order

  Scenario: What did not change is not written, and what did is written every 5 seconds at most
    # Guards against traffic and store calls without need.
    Given an owner task that predicts run times and keeps them in a store
    When 10 tasks end in each of 20 seconds, and nothing ends for 20 seconds
    Then 4 or 5 records were written

  Scenario: A learned state that fails costs only itself
    # Guards against a fault in one part that loses what all others have learned, or stops the owner.
    Given an owner task that predicts run times and keeps them in a store
    And further learned states, of which one raises errors and one grows beyond a record
    When 40 tasks take 4 times their estimate, and the owner dies 6 seconds later
    Then the next owner expects 3.5 to 4.5 times the estimate
    And the faults of the two states are counted

  Scenario: What was learned ages
    # Guards against last week's run times that count as much as today's.
    Given a model that predicts run times
    And 200 tasks of 10 seconds of the queue have ended, estimated at 10 seconds
    When its record is merged 8 hours later, and 60 tasks of 20 seconds have ended
    Then a task estimated at 10 seconds is expected to take 19 to 21 seconds

  Scenario: The record is bounded
    # Guards against a record that the store refuses, after callers of a thousand organisations.
    Given a model that predicts run times
    When 4 tasks of each of 1000 organisations have ended
    Then its record has less than 32 KB
