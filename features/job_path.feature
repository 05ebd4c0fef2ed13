Feature: The path of one job through separate processes

  Scenario: A gang runs once and its whole result is read back through another entry
    # Guards against a second job for a submission that is repeated at another entry, and against
    # a result that only the first entry can read, or that lacks parts.
    Given 2 entries and 3 targets as separate processes
    And the demo configuration is published
    When a caller submits a gang of 4 parts through entry-0
    And the caller submits the same key again through entry-1
    Then both submissions name the same job
    And the whole result is read back through entry-1

  Scenario: An operator whose publish conflicts is told which version is in force
    # Guards against two publishes on one base version that are both accepted, so that one of
    # them is overwritten unseen.
    Given 2 entries and 1 targets as separate processes
    And the demo configuration is published
    When two operators publish against version 1
    Then one publish wins and the other is told that version 2 is in force

  Scenario: A scrapped target becomes empty without aborting its jobs
    # Guards against a target that never becomes empty, or ends its running jobs when it is scrapped.
    Given 2 entries and 3 targets as separate processes
    And the demo configuration is published
    When 3 jobs that fill a worker run and target-0 is scrapped
    Then target-0 becomes empty
    And every job finishes
