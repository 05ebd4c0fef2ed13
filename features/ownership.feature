Feature: Takeovers, late records and lost answers

  Scenario: A restarted entry does not own what its predecessor claimed
    Given an entry that reads a claim by its predecessor
    Then it owns no domain

  Scenario: Jobs that arrive while a takeover waits for statuses start once it is over
    Given an entry that owns a domain with one target
    When a job is accepted before the statuses are in
    Then nothing is reserved yet
    When the wait for statuses is over
    Then the job is reserved once

  Scenario: A job that was cancelled before its acceptance is handled is not queued
    Given an entry that owns a domain with one target
    When the wait for statuses is over
    And a job is accepted and cancelled before the owner handles either record
    Then nothing is reserved yet

  Scenario: A cancellation stops a job and takes it out of the queue
    Given an entry that owns a domain with one target
    When the wait for statuses is over
    And a job is accepted
    And the job is cancelled
    Then the target is told to release it
    And the job is not reserved again

  Scenario: A start that was rejected because the job has ended is not repeated
    Given an entry that owns a domain with one target
    When the wait for statuses is over
    And a job is accepted
    And the job is finished by an earlier owner before its start is recorded
    Then the job is not reserved again

  Scenario: A verdict on a start in another epoch is ignored
    Given an entry that owns a domain with one target
    When the wait for statuses is over
    And a job is accepted
    And a start of the same attempt in an older epoch is rejected
    Then the reservation stays

  Scenario: Two epochs never use the same attempt number
    When owners in epochs 1 and 2 start the same job
    Then their attempt numbers differ

  Scenario: A stop that overtakes its commit wins
    Given a target that reserved a job
    When the stop arrives before the commit
    Then no part starts

  Scenario: A stop that was lost is sent again with the next status
    Given a scheduler whose running job was cancelled
    When the target still reports the part after 7 s
    Then the stop is sent again

  Scenario: A record without an answer is resolved once when it is overdue
    Given an appender whose log takes records but is never read
    When two records are overdue after a lost answer
    Then both are resolved as unknown

  Scenario: A version that only a heartbeat confirms is read back
    # Guards against operators being told for ever that a target is behind.
    Given an entry that owns a domain with one target
    And the wait for statuses is over
    When version 2 is published
    Then the report names the target as behind
    When a heartbeat of the target names version 2
    Then the report names no target as behind
