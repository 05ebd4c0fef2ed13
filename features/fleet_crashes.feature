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

  Scenario: A runner that leaves as it announced has not crashed
    # Guards against blaming the tasks that ran on a target that drained.
    Given a target process whose runner has run "old" for 5 seconds
    When the runner drains, and is back as another target
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
    And a crash is reported with "old"
