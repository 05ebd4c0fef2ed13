Feature: State outlives every process and is rebuilt from retained records alone

  Scenario: A new entry recovers from a snapshot and the records after it
    Guards against losing the configuration, jobs or ownership when old records expire.

    Given a ledger that was folded from 200 random records
    When a snapshot is taken at every point and all records before it expire
    Then recovery from the retained records gives the same ledger each time

  Scenario: An entry does not start from a log whose history is gone
    Guards against serving from an empty state after records expired without a snapshot.

    Given a log whose first records expired without a snapshot
    Then a reader does not catch up
    And a reader that accepts lost history catches up

  Scenario: A reader that fell behind the retention recovers and says so
    Guards against silently missing the records that expired unread.

    Given a reader that followed a log
    When more records and a snapshot are appended and expire while the reader is stopped
    Then the reader rebuilds the same ledger and calls its reset listeners

  Scenario: An append whose answer was lost counts once
    Guards against a second copy of a record being applied, and against losing the record.

    Given an appender on a log that loses every second answer
    When 50 records are appended
    Then the fold applied each of them exactly once in order

  Scenario: A late copy of a record does not take effect again
    Guards against an append that arrives after its repetition undoing what came between.

    Given a record that is in the log twice, as a late copy behind a newer record
    Then the late copy has no effect

  Scenario: A damaged record is counted and skipped
    Guards against one bad record stopping every reader.

    Given a log with a damaged and an unknown record between two good ones
    Then a reader applies both good records and counts 2 damaged ones

  Scenario: A snapshot with a lost or damaged chunk is not used
    Guards against restoring a state that is not whole.

    Given a snapshot of several chunks
    Then it is not used while a chunk is missing or damaged
    And it is used once all chunks are whole

  Scenario: The end of an outage puts a snapshot into the log before records expire
    Guards against an outage using up the time in which snapshots are due.

    Given a snapshot schedule with a retention of 400 seconds
    Then a snapshot is due 100 seconds after the last one for the first entry
    And the second entry waits 5 seconds longer
