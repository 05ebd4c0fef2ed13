Feature: A task that crashes its runners is found and given up, and work beside it is not

  Scenario: A target process reports what ran on a runner that crashed
    # Guards against a crash of which nobody can tell afterwards which task was the cause.
    Given a target process whose runner has run "old" for 5 seconds
    When the runner confirms the start of "new", and crashes 0.1 seconds later
    And the runner is back as another target
    Then a crash is reported with "old" of 5.1 seconds and "new" of 0.1 seconds

  Scenario: A start without an answer is reported as possibly begun, a refused one is not reported
    # Guards against blaming a task that its runner never began, and against missing one whose start
    # crashed the runner before it could answer.
    Given a target process whose runner has run "old" for 5 seconds
    When the runner refuses the start of "refused", and leaves the start of "lost" unanswered
    And the runner is back as another target
    Then a crash is reported with "old", and "lost" as possibly begun

  Scenario Outline: A start without an answer is not put down to the crash of a silent runner: <call>
    # Guards against a job that is shown as failed though none of its tasks was ever started: each
    # runner that it was ordered to was cut off, and crashed behind the cut.
    Given a target process whose runner has run "old" for 5 seconds
    When the runner leaves the start of "lost" unanswered, and <call> got no answer in time
    And the runner is back as another target
    Then a crash is reported with "old"

    Examples:
      | call        |
      | the start   |
      | the listing |

  Scenario: A runner that leaves as it announced has not crashed
    # Guards against blaming the tasks that ran on a target that drained.
    Given a target process whose runner has run "old" for 5 seconds
    When the runner drains, and is back as another target
    Then no crash is reported

  Scenario Outline: A start that the next life under the id <has> is not put down to the crash
    # Guards against a job that is shown as failed though no runner crashed under it: a start on its
    # way when a runner crashed was carried out by the next life under its id.
    Given a target process whose runner has run "old" for 5 seconds
    When the runner starts again under its id, and "new" is started as its next life <has> it
    Then a crash is reported with "old"
    And the next life is reported with its runs only

    Examples:
      | has                        |
      | runs                       |
      | has ended                  |
      | starts after it has listed |

  Scenario Outline: A run that the former life <had> is put down to its crash
    # Guards against a task that crashes each runner that starts it, and is not found as the runner is
    # back at once under its id.
    Given a target process whose runner has run "old" for 5 seconds
    When the runner <had> "new" before it starts again under its id, without runs
    Then a crash is reported with both "old" and "new"

    Examples:
      | had                    |
      | started                |
      | left unanswered        |
      | listed                 |

  Scenario: A message that a runner leaves does not undo its crash
    # Guards against a task that is started again and again although it crashes its runners: a message
    # that was late, or from another writer, made each crash before it a planned end.
    Given a target process whose runner has run "old" for 5 seconds
    When the runner refuses the connections of 0.4 seconds
    And a message arrives that its target leaves
    And the runner is back as another target
    Then a crash is reported with "old"

  Scenario: A runner that says that it leaves right before or after it ends has not crashed
    # Guards against blaming the tasks that ran on a target that left as it announced.
    Given a target process whose runner has run "old" for 5 seconds
    When the runner refuses the connections of 0.1 seconds
    And a message arrives that its target leaves
    And the runner refuses the connections of 1 seconds more
    And the runner is back as another target
    Then no crash is reported

  Scenario: A crash is reported for a while, also after it was answered
    # Guards against a crash that is forgotten in a takeover: the owner that heard of it was killed
    # before it stored it.
    Given a target process whose runner has run "old" for 5 seconds
    When the runner is back as another target
    And 29 more seconds pass at the target process
    Then a crash is reported with "old"
    When 2 more seconds pass at the target process
    Then no crash is reported

  Scenario: A runner that is down is reported at once
    # Guards against a crash that the owner hears of with the next regular report, up to a second
    # later, and against what ran there that is reported only when the runner is back.
    Given a target process whose runner has run "old" for 5 seconds
    When the runner refuses the connections of 0.2 seconds
    Then no report is due
    When the runner refuses the connections of 0.2 seconds more
    Then a report is due
    And no crash is reported
    When the runner refuses the connections of 6.2 seconds more
    Then a report is due
    And a crash is reported with "old"

  Scenario: Work on a runner that was cut off for a while is not blamed for a crash
    # Guards against tasks that are suspected, and given up after some cuts, though their runner never
    # crashed: its machine only refused connections.
    Given a target process whose runner has run "old" for 5 seconds
    When its lease is renewed
    And the runner refuses the connections of 4 seconds
    And it answers again
    Then no crash is reported

  Scenario: A task that crashes each runner that starts it is given up
    # Guards against one task that crashes runner after runner: its runs are lost with the runners,
    # and lost runs were no attempts, so that it was started without end.
    Given 4 targets and a job that crashes each runner 0.1 seconds after its start
    When 60 seconds pass, in which each runner that crashed is back after 3 seconds
    Then the job has failed after 2 starts

  Scenario: A task that crashes its runners is given up across takeovers
    # Guards against a count of crashes that only the memory of one owner holds.
    Given 4 targets and a job that crashes each runner 0.1 seconds after its start
    When a new owner takes over after each crash, before the old one has stored it
    Then the job has failed after 2 starts

  Scenario: A task that crashes its runners some time after its start is given up
    # Guards against a limit that only holds for tasks that crash their runner at once.
    Given 4 targets and a job that crashes each runner 5 seconds after its start
    When 60 seconds pass, in which each runner that crashed is back after 3 seconds
    Then the job has failed after at most 5 starts

  Scenario: Starts that are never answered as the runner crashes are bounded too
    # Guards against a task that crashes its runner before the start is confirmed.
    Given 4 targets and a job that crashes each runner before its start is confirmed
    When 60 seconds pass, in which each runner that crashed is back after 3 seconds
    Then the job has failed after at most 5 starts

  Scenario: Work that runs beside tasks that crash their runners is not given up
    # Guards against blaming what ran on a runner for long for the task that had just been started.
    Given 4 targets with a long job of one task on each
    When 12 jobs in turn crash each runner that starts them
    Then these jobs have failed, and no long job has

  Scenario: Work that starts together with a task that crashes its runner is not given up
    # Guards against tasks that are started side by side again and again, so that all of them seem to
    # crash their runners.
    Given 4 targets
    When 8 jobs start together on one runner, and one of them crashes each runner at once
    And 60 seconds pass, in which each runner that crashed is back after 3 seconds
    Then only that job has failed, after at most 3 starts

  Scenario: Two jobs that share a crash are not tried side by side
    # Guards against giving up a job for the crashes of another one: both were started together, and
    # all runners are then shared between their tasks, so that each crash blames both.
    Given 4 targets
    When a job of 4 tasks and one of 4 tasks that crash each runner start together on one runner
    And 60 seconds pass, in which each runner that crashed is back after 3 seconds
    Then only the second job has failed, after at most 3 runners have crashed

  Scenario: Work that was beside the cause of a crash and then loses its runner by chance is not given up
    # Guards against giving up a job for one crash that it shared with the cause and one that had
    # another reason.
    Given 4 targets
    When a job of 4 tasks and one of 4 tasks that crash each runner start together on one runner
    And the runner of the first job crashes by chance 0.5 seconds after it has started again
    And 60 seconds pass, in which each runner that crashed is back after 3 seconds
    Then only the second job has failed, after at most 4 runners have crashed

  Scenario: A service that has run for days is not given up for the crashes of years
    # Guards against a count that only ever grows: each machine crashes some day.
    Given 4 targets with a long job of one task on each
    When all runners crash 5 times, after runs of 2 days each
    Then no long job has failed

  Scenario: Work that loses its runner three times for other reasons is not given up
    # Guards against taking crashes of runners, a loss of power for example, for the doing of a task.
    Given 4 targets with a long job of one task on each
    When all runners crash 3 times, 5 seconds apart
    Then no long job has failed
