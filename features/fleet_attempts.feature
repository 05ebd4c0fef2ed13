Feature: Each failed attempt of a task counts once, whoever sees it and when

  Background:
    Given 4 targets of 8 accelerators, two in each rack

  Scenario: A failed run that had been given up still counts as an attempt
    # Guards against an attempt too many: the target was only cut off, and reports the failure after
    # the owner has ordered another run.
    Given a job of 1 task of 8 accelerators runs
    When its target is silent for 10 seconds
    And the lost run is reported as failed, and the second run fails too
    Then 2 runs were ordered, and the job has failed

  Scenario: A failed run that the previous owner had given up still counts as an attempt
    # Guards against the same across a takeover: the new owner reads the failure of a run that it
    # never knew as running.
    Given a job of 1 task of 8 accelerators runs
    When its target is silent for 10 seconds
    And a new owner takes over
    And the lost run is reported as failed, and the second run fails too
    Then 2 runs were ordered, and the job has failed

  Scenario: A late failure does not stop a run that may still succeed
    # Guards against giving up a job for a failure that is reported late, while its last attempt runs.
    Given a job of 1 task of 8 accelerators runs
    And its first run has failed, and its second one has been given up as silent
    When the second run is reported as failed after all
    Then the third run goes on, and completes the job

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
