Feature: Each failed attempt of a task counts once, whoever sees it and when

  Background:
    Given 4 targets of 8 accelerators, two in each rack

  Scenario: A failure that is listed again counts once
    # Guards against a job that fails before its attempts: the owner was killed after it had stored
    # the failure, and the next one reads the same listing.
    Given a job of 1 task of 8 accelerators runs
    When its run fails, and a new owner takes over before the failure is acknowledged
    Then the job is running with run 2

  Scenario: A gang that failed in one run counts one failure, also across a takeover
    # Guards against a job that fails before its attempts: two members of a gang failed in one run,
    # and each of two owners counted one of them.
    Given a job of a gang of 2 tasks of 8 accelerators runs
    When both of its runs fail, and a new owner takes over when the first failure is stored
    Then the job is running with run 2
