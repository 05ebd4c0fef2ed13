Feature: The platform adapter loses and invents no data on damaged input and store faults

  Scenario: Records survive the store's format, whatever their keys and values
    # Guards against records that change in the store's binary format, and against a batch that was
    # cut short and yields a damaged record.
    When hypothesis writes records in the store's format and reads them back
    Then they are the same, and cut bytes give no record that was not written

  Scenario Outline: Any <input> is decoded or refused by its typed error
    # Guards against a body of the wrong form or types that ends a process by an untyped exception.
    When hypothesis sends <count> bodies of <input> to the adapter
    Then each is decoded or refused by its typed error

    Examples:
      | input     | count |
      | job       | 300   |
      | heartbeat | 300   |
      | config    | 300   |

  Scenario: A heartbeat of an unknown state, with a field of another type or missing is refused
    # Guards against a target that is placed by a damaged heartbeat, and against one with a number
    # that no message holds: it ended each report of its target process, so that the runner got no
    # more work.
    When heartbeats with damaged fields are decoded
    Then each is refused

  Scenario: A heartbeat under an id that cannot be named in a call is refused
    # Guards against a target process that fails at each call for that id.
    When heartbeats come under ids that no header can hold
    Then each is refused

  Scenario: A late heartbeat does not replace a newer one
    # Guards against a heartbeat of the previous incarnation that is delayed, has a higher sequence
    # number, and puts that incarnation in force again.
    When a target process gets a heartbeat, one of a new incarnation, and then a late one of the old
    Then the new incarnation stays in force

  Scenario: An owner's append that got no answer is repeated unchanged
    # Guards against a change that is stored twice, or lost: the store carried out the append and
    # its answer was lost, and the repetition has other bytes or another number.
    Given a store, and an elected owner
    When the store loses the answer of an append of the owner, and more changes come
    Then the owner repeats the same bytes under the same number, and everything is stored once

  Scenario: Two terms of one entry never use the same epoch
    # Guards against a fencing epoch that is used twice: the restarted entry rejoins while its old
    # membership has not expired.
    Given a store, and an elected owner
    When the entry's process restarts within its time to live and is elected again
    Then its second epoch is higher than its first

  Scenario: A store that one entry cannot reach is reached through a peer
    # Guards against an entry that is useless while only its own link to the store is cut.
    Given a store that one entry cannot reach, and a peer that can
    When the entry appends through its relay
    Then the record is stored once

  Scenario: A start in progress is not refused when its target begins to drain
    # Guards against a second run elsewhere: the owner repeats the order during the drain, and the
    # target process rejects a run that its runner is starting.
    Given a target process that carries out a start
    When its target begins to drain and the order is repeated
    Then the run is not reported as rejected, before or after the runner confirms it

  Scenario: A start that a draining target refuses is final before it is reported
    # Guards against a rejected run that still starts: an earlier order may have reached the runner,
    # so only a listing made after the stop proves that the run does not exist.
    Given a target process whose target drains
    When a start is ordered
    Then the run is stopped first, and reported as rejected only after a later listing without it

  Scenario: SIGHUP puts the peers of a changed settings file in force and survives a broken one
    # Guards against a target process that needs a restart to learn new peers, or ends or loses its
    # peers when the file is damaged.
    Given a target process with a settings file
    When the file names other peers, and then is damaged, with a SIGHUP after each change
    Then the other peers are in force

  Scenario: A job runs from submission to completion through separate services
    # Guards against a fault anywhere on the path between entries, store, target processes and
    # runners that tests of single modules miss, such as a task that is started twice.
    Given a store, two entries, and three target processes with runners
    When a job of 5 tasks is submitted at one entry
    Then it is completed at the other entry, each task having started once
    And both entries answer an unknown job with 410 and a wrong key with 401

  Scenario: A job is finished by the next owner when the first one stops
    # Guards against a takeover that loses a job or starts its running tasks a second time.
    Given a store, two entries, and three target processes with runners
    When a job of 5 tasks is submitted at one entry
    And the entry that owns the schedule stops
    Then it is completed at the other entry, each task having started once

  Scenario: The next owner starts with what the last one has learned
    # Guards against a fault on the path of a learned record from the owner over the keeper's thread
    # and the store's protocol to the next owner that tests without threads miss.
    Given a store, two entries that predict run times, and three target processes with runners
    And jobs of short tasks were estimated at 9 s, and the store holds what they took
    When the entry that owns the schedule dies
    Then the next owner expects less than 3 s for an estimate of 9 s

  Scenario: A store that is silent for learned records only disturbs nothing else
    # Guards against calls for learned records whose failures count for all calls to the store: other
    # calls then take a detour, wait longer for their answers, and refuse jobs.
    Given a store, two entries that predict run times, and three target processes with runners
    And the store answers no call for learned records
    When jobs are submitted one after another until 4 of these calls have failed
    Then each is completed under one owner, and no entry takes the store for lost
    And an append of the owner waits no longer for its answer than before
