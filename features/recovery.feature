Feature: State survives the loss of any process and is rebuilt from the retained records

  Scenario: A new entry recovers from a snapshot and the records after it
    Guards against losing the configuration, jobs or ownership because the log has deleted the old
    records that stated them.

    Given a ledger to which 200 random records were applied
    When a snapshot is taken after each record and all records up to it expire
    Then recovery from the retained records gives the same ledger each time

  Scenario: An entry does not start from a log whose history has expired
    Guards against an entry that serves from an empty state, because the first records expired and
    no snapshot replaces them.

    Given a log whose first records expired without a snapshot
    Then a reader does not catch up
    And a reader that accepts lost history catches up

  Scenario: A reader that fell behind the log's retention recovers and notifies its listeners
    Guards against listeners that silently miss records which expired before the reader read them.

    Given a reader that has read a log to its end
    When records and a snapshot are appended while the reader is stopped, and unread records expire
    Then the reader rebuilds the same ledger and calls its reset listeners

  Scenario: An append whose answer was lost counts once
    Guards against applying a record twice or not at all, because the answer to its append was lost
    so that the appender sends it again.

    Given an appender on a log that loses every second answer
    When 50 records are appended
    Then the reader applied each of them exactly once and in order

  Scenario: A late copy of a record does not take effect again
    Guards against an append that reaches the log after its own retry and after newer records: if
    it took effect again, it would undo these newer records.

    Given a log that holds a record, a newer one and a late copy of the first
    Then the late copy has no effect

  Scenario: A damaged record is counted and skipped
    Guards against one record that cannot be decoded stopping every reader.

    Given a log with an undecodable record and one of unknown type between two valid ones
    Then a reader applies both valid records and counts 2 damaged ones

  Scenario: A snapshot with a lost or damaged chunk is not used
    Guards against restoring an incomplete state, because a chunk expired or cannot be decoded.

    Given a snapshot of several chunks
    Then the snapshot is not used while a chunk is missing or damaged
    And the snapshot is used once all chunks are present and undamaged

  Scenario: A snapshot is due so early that an outage leaves time to append it
    Guards against records that expire without a newer snapshot because a log outage used up the
    time between two snapshots.

    Given a snapshot schedule with a retention of 400 seconds
    Then a snapshot is due 100 seconds after the last one for the first entry
    And the second entry waits 5 seconds longer
