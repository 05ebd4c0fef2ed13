Feature: A job too large to be kept harms no other job

  Scenario: A job with more tasks than its progress record can hold is refused at once
    # Guards against one accepted request that takes down owner after owner: each runs out of memory
    # over its tasks, or is refused by the store and resigns, and the next one reads the same job.
    Given an entry that accepts jobs
    When a job of 2001 tasks is submitted
    Then it is refused as malformed, and nothing is stored
    When a job of 1000000000 tasks is submitted
    Then it is refused as malformed, and nothing is stored
    When a job of 1 task is submitted, to run 1000000000 times at once
    Then it is refused as malformed, and nothing is stored
    When a job of 2000 tasks is submitted
    Then it is accepted

  Scenario: A periodic job whose occurrences are all overdue is refused at once
    # Guards against one submission that makes each planning pass go through a million occurrences.
    Given an entry that accepts jobs
    When a job of 1 task is submitted, to run 1000000 times, each millisecond since 1970
    Then it is refused as malformed, and nothing is stored

  Scenario: A periodic job whose occurrences lie ahead is accepted
    # Guards against refusing a long series because all of its occurrences are counted as due.
    Given an entry that accepts jobs
    When a job of 1 task is submitted, to run 1000000 times, each second from tomorrow
    Then it is accepted

  Scenario: The progress of the largest job that is accepted fits into one record
    # Guards against a limit that lets a job in whose progress the store refuses.
    Given the progress of a job of 2000 tasks, each failed and crashed 4 times
    Then its record has at most 262144 bytes

  Scenario: A job whose progress has outgrown a record is given up alone
    # Guards against an append that the store refuses whole, so that no job's progress is stored and
    # owner after owner resigns.
    Given an owner whose store takes records of 1500 bytes and appends of 3000 bytes
    When a job of 80 tasks and 50 jobs of one task start
    Then the job of 80 tasks has failed, and 50 starts are ordered
    And the owner still owns the schedule
