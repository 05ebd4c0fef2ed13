Feature: The platform's formats, store and troubles are met without losing or inventing anything

  Scenario: Records survive the store's format, whatever their keys and values
    When hypothesis writes records in the store's format and reads them back
    Then they are the same, and cut bytes give no record that was not written

  Scenario Outline: Any <input> is decoded or refused by its typed error
    When hypothesis sends <count> bodies of <input> to the adapter
    Then each is decoded or refused by its typed error

    Examples:
      | input     | count |
      | job       | 300   |
      | heartbeat | 300   |
      | config    | 300   |

  Scenario: A heartbeat of an unknown state, with a field of another type or missing is refused
    When heartbeats with damaged fields are decoded
    Then each is refused and names no target

  Scenario: A late heartbeat does not replace a newer one
    When a target process gets a heartbeat, one of a new incarnation, and then a late one
    Then the new incarnation stays in force

  Scenario: An owner's append that got no answer is repeated as it was
    Given a store, and an owner that leads
    When the store loses the answer of an append of the owner, and more changes come
    Then the owner repeats the same bytes under the same number, and everything is stored once

  Scenario: Two terms of one entry never use the same epoch
    Given a store, and an owner that leads
    When the entry's process starts again within its time to live and leads again
    Then its second epoch is higher than its first

  Scenario: A store that turns one entry away is reached through a peer
    Given a store that one entry cannot reach, and a peer that can
    When the entry appends through its relay
    Then the record is stored once

  Scenario: A start under way is not refused when its target begins to drain
    Given a target process that carries out a start
    When its target begins to drain and the order is repeated
    Then the run is not reported as rejected, before or after the runner confirms it

  Scenario: A start that a draining target refuses is final before it is reported
    Given a target process whose target drains
    When a start is ordered
    Then the run is stopped first, and reported as rejected only after a later listing without it

  Scenario: SIGHUP puts the peers of a changed settings file in force and survives a broken one
    Given a target process with a settings file
    When the file names other peers, and then is damaged, with a SIGHUP after each change
    Then the other peers are in force

  Scenario: A job runs from submission to completion through separate services
    Given a store, two entries, and three target processes with runners
    When a job of 5 tasks is submitted at one entry
    Then it is completed at the other entry, each task having started once
    And both entries know an unknown job as gone and a wrong key as unauthorised

  Scenario: A job is finished by the next owner when the first one stops
    Given a store, two entries, and three target processes with runners
    When a job of 5 tasks is submitted at one entry
    And the entry that owns the schedule stops
    Then it is completed at the other entry, each task having started once
