Feature: Starts keep to the room that each target has now

  Background:
    Given 4 targets

  Scenario: No start goes beyond a room that has shrunk
    # Guards against starts on a target by the room that it had when it joined.
    Given a job of 4 accelerators runs on each target
    When the room of all targets shrinks to 6 accelerators
    And a job of 4 accelerators is accepted
    Then it is not started
    When the room of one target grows to 8 accelerators again
    Then it is started there

  Scenario: Runs beyond a room that has shrunk go on, and nothing is started beside them
    # Guards against stopping work that its runner lets go on, and against reckoning with room that is
    # less than nothing.
    Given a job of 4 accelerators runs on each target
    When the room of all targets shrinks to 2 accelerators
    And a job of 1 accelerator is accepted
    Then it is not started
    And no run of the first jobs was stopped

  Scenario: What is being stopped still counts
    # Guards against a start beside a run whose stop was ordered and that has not ended yet.
    Given a job of 4 accelerators runs on each target
    When an urgent job of 8 accelerators within its guarantee is accepted, and stops take long
    Then it is not started
    When the stopped runs have ended
    Then it is started

  Scenario: A runner that refuses starts for its room is not asked again at once
    # Guards against a start that is refused and ordered again without end, some twenty times a second:
    # the room has shrunk, and the next heartbeat has yet to say so.
    Given the runners have no room left, and have not said so yet
    When a job of 4 accelerators is accepted, and 3 seconds pass
    Then each runner has refused at most 2 starts

  Scenario: A change of the room is reported at once
    # Guards against a second that is lost before the owner hears of a room that has shrunk.
    Given a target process whose runner has run "old" for 5 seconds
    When a heartbeat announces another room
    Then a report is due
