Feature: Faults of separate processes

  Scenario: An entry that owns the domain is killed while a gang runs
    # Guards against a gang that is lost, or run a second time, by the entry that takes over.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run
    And the owner of the domain is killed
    Then both gangs finish with the whole result
    And gang "once" started once

  Scenario: A target is killed while a gang runs
    # Guards against a gang that waits for a dead target, or a second run of a non-idempotent job.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run
    And a target that runs both is killed
    Then gang "idempotent" finishes with the whole result
    And gang "once" ends as "may_have_run"
    And gang "once" started once

  Scenario: The owner entry and a target are killed together
    # Guards against a takeover that waits for a target which died before the new owner saw it.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run
    And the owner of the domain is killed
    And a target that runs both is killed
    Then gang "idempotent" finishes with the whole result
    And gang "once" ends as "may_have_run"
    And gang "once" started once

  Scenario: A target is paused past its lease
    # Guards against parts that go on after the pause while the job runs elsewhere.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run for 14 seconds
    And a target that runs both is paused for 9 seconds
    Then gang "idempotent" finishes with the whole result
    And gang "once" ends as "may_have_run"
    And gang "once" started once
    And no part runs beside a newer attempt of its job

  Scenario: The owner entry is paused past a takeover
    # Guards against commands and records of the old owner that act after the takeover.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run
    And the owner of the domain is paused past a takeover
    Then both gangs finish with the whole result
    And gang "once" started once
    And a further gang through the resumed entry finishes with the whole result

  Scenario: The log goes down while gangs run and comes back
    # Guards against results that are lost because they could not be recorded when they were due.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run
    And the log is down for 6 seconds
    Then both gangs finish with the whole result
    And gang "once" started once

  Scenario: The log's answers are lost
    # Guards against a second append under a new id, which would double a job or a start.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When the next 6 answers of the log are lost
    And a gang "idempotent" and a gang "once" run
    Then both gangs finish with the whole result
    And gang "once" started once
    And gang "idempotent" started once

  Scenario: SIGTERM on a target moves what runs
    # Guards against parts that are cut, or restart from nothing, when their target is replaced.
    Given 2 entries and 2 targets of one zone as separate processes
    And the demo configuration without guarantees is published
    When a gang "idempotent" and a gang "once" run
    And a target that runs both gets SIGTERM
    Then the stopped process exits cleanly with nothing cut
    And both gangs finish with the whole result
    And every later attempt goes on from a checkpoint

  Scenario: SIGTERM on the owner entry hands its domains over at once
    # Guards against a takeover that waits for the silence of an entry which left on purpose, and
    # against answers that are cut because their pipe closed first.
    Given 2 entries that claim after 90 s of silence and slow back ends
    And the demo configuration without guarantees is published
    When a slow request and a gang "idempotent" run through the owner of the domain
    And the owner of the domain gets SIGTERM
    Then another entry owns the domain although silence alone allows no claim yet
    And the slow request is answered whole
    And the stopped process exits cleanly with nothing cut
    And gang "idempotent" finishes with the whole result
