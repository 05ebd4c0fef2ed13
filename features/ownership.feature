Feature: Takeovers, late records and lost answers of the log

  Scenario: A restarted entry does not own the domain that its predecessor claimed
    # Guards against an entry that reads the claim of its earlier process from the log, takes it for
    # its own and schedules without having claimed the domain.
    Given an entry that reads a claim of its predecessor process
    Then it owns no domain

  Scenario: A job accepted while a new owner waits for statuses starts once after the wait
    # Guards against a new owner that places a job before it knows what runs on its targets, and
    # against a job that is forgotten or reserved twice when the wait ends.
    Given an entry that owns a domain with one target
    When a job is accepted while the owner waits for statuses
    Then nothing is reserved
    When the wait for statuses is over
    Then the job is reserved once

  Scenario: A job that is cancelled before the owner handles its acceptance is not queued
    # Guards against starting a cancelled job: the ledger already holds the cancellation when the
    # owner handles the acceptance.
    Given an entry that owns a domain with one target
    When the wait for statuses is over
    And a job is accepted and cancelled before the owner handles either record
    Then nothing is reserved

  Scenario: A cancellation releases a reserved job and removes it from the queue
    # Guards against a cancelled job whose reservation stays, or that is reserved again later.
    Given an entry that owns a domain with one target
    When the wait for statuses is over
    And a job is accepted
    And the job is cancelled
    Then the target is told to release it
    And the job is not reserved again

  Scenario: A start that the ledger rejects because the job has ended is not retried
    # Guards against an owner that retries the start of a finished job: an earlier owner's result is
    # recorded first, so the ledger rejects the start.
    Given an entry that owns a domain with one target
    When the wait for statuses is over
    And a job is accepted
    And the job is finished by an earlier owner before its start is recorded
    Then the job is not reserved again

  Scenario: A rejected start of an older epoch does not affect the current attempt
    # Guards against releasing a valid reservation because a start record of an older epoch, with
    # the same attempt number, is rejected late.
    Given an entry that owns a domain with one target
    When the wait for statuses is over
    And a job is accepted
    And a start of the same attempt with an older epoch is rejected
    Then the reservation stays

  Scenario: Owners in different epochs never use the same attempt number
    # Guards against mixing up two attempts of a job: during a log outage an attempt may run without
    # a recorded start, and the next owner, which cannot know of it, must not use its number again.
    When owners in epochs 1 and 2 start the same job
    Then their attempt numbers differ

  Scenario: A stop that arrives before its commit prevents the start
    # Guards against a part that starts after its stop, because the messages arrived out of order.
    Given a target that reserved a job
    When the stop arrives before the commit
    Then no part starts

  Scenario: A stop that was lost is sent again when the target still reports the part
    # Guards against a cancelled job that keeps running because its only stop message was lost.
    Given a scheduler whose running job was cancelled
    When the target still reports the part after 7 s
    Then the stop is sent again

  Scenario: An append without an answer is resolved as unknown after its timeout
    # Guards against callers that wait for ever for an append whose answer was lost while the log
    # cannot be read either.
    Given an appender whose log answers no append and is never read
    When two appended records pass their timeout after a lost answer
    Then both are resolved as unknown

  Scenario: A heartbeat confirms a target's configuration version without a status
    # Guards against operators who are told for ever that a target is behind, because the target
    # confirmed the new version only in a heartbeat and sent no further status.
    Given an entry that owns a domain with one target
    And the wait for statuses is over
    When version 2 is published
    Then the report names the target as behind
    When a heartbeat of the target names version 2
    Then the report names no target as behind
