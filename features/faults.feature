Feature: Faults of separate processes

  Scenario: An entry that owns the domain is killed while a gang runs
    # Guards against a gang that is lost or started again by the entry that takes over the domain.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run
    And the owner of the domain is killed
    Then both gangs finish with the results of all parts
    And gang "once" started once

  Scenario: A target is killed while a gang runs
    # Guards against a gang that waits for ever for a killed target, and against a second run of a
    # non-idempotent job whose first run may have had an effect.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run
    And a target that runs a part of both gangs is killed
    Then gang "idempotent" finishes with the results of all parts
    And gang "once" ends as "may_have_run"
    And gang "once" started once

  Scenario: The owner entry and a target are killed together
    # Guards against a takeover that waits for ever for the status of a target that was killed
    # before the new owner received any.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run
    And the owner of the domain is killed
    And a target that runs a part of both gangs is killed
    Then gang "idempotent" finishes with the results of all parts
    And gang "once" ends as "may_have_run"
    And gang "once" started once

  Scenario: A target is paused past its lease
    # Guards against parts that keep running after the pause, although the lease expired and the job
    # runs on another target.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run for 14 seconds
    And a target that runs a part of both gangs is paused for 9 seconds
    Then gang "idempotent" finishes with the results of all parts
    And gang "once" ends as "may_have_run"
    And gang "once" started once
    And no old part keeps running beside a newer attempt of its job

  Scenario: The owner entry is paused past a takeover
    # Guards against a resumed owner that does not know of the takeover, and whose commands and
    # records still take effect.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run
    And the owner of the domain is paused until another entry has taken over
    Then both gangs finish with the results of all parts
    And gang "once" started once
    And a further gang through the resumed entry finishes with the results of all parts

  Scenario: The log is down for a time while gangs run
    # Guards against results that are lost because the log was down when the gangs finished.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run
    And the log is down for 6 seconds
    Then both gangs finish with the results of all parts
    And gang "once" started once

  Scenario: Answers of the log are lost
    # Guards against a record that is appended again under a new id after its answer was lost, so
    # that a job is accepted or started twice.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When the next 6 answers of the log are lost
    And a gang "idempotent" and a gang "once" run
    Then both gangs finish with the results of all parts
    And gang "once" started once
    And gang "idempotent" started once

  Scenario: SIGTERM on a target moves its gangs to other targets
    # Guards against parts that are stopped without a checkpoint, or start from the beginning, when
    # their target is replaced.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run
    And a target that runs a part of both gangs gets SIGTERM
    Then the stopped process exits cleanly with all its work ended
    And both gangs finish with the results of all parts
    And every later attempt continues from a checkpoint

  Scenario: SIGTERM on the owner entry hands its domains over at once
    # Guards against a takeover that waits until an entry has been silent long enough, although it
    # shut down in order, and against answers that are lost because their pipe closed first.
    Given 2 entries that claim a domain after 90 s of silence, and slow back ends
    And the demo configuration without guarantees is published
    When a slow request and a gang "idempotent" run through the owner of the domain
    And the owner of the domain gets SIGTERM
    Then another entry owns the domain before 90 s of silence would allow a claim
    And the slow request gets its full answer
    And the stopped process exits cleanly with all its work ended
    And gang "idempotent" finishes with the results of all parts
