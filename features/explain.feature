Feature: A failed request is explained from the log lines of all processes

  Scenario Outline: The events of a job that was <outcome> lead to its cause
    # Guards against events of other jobs or in the order of the files instead of time, against a
    # wrong cause, and against an error on lines that are no JSON.
    Given log lines of a job that was <outcome>, among others
    When its events are printed
    Then they are in order of time, name no other job, and the cause is "<cause>"

    Examples:
      | outcome   | cause                                  |
      | refused   | it was refused: the store is away      |
      | cancelled | its caller cancelled it                |
      | failed    | it ended as failed: it failed 2 times  |
      | lost      | a run was lost: no report for 9.0 s    |

  Scenario: Work that was thrown away is summed up by cause
    # Guards against a table that leaves out runs, counts finished ones, or needs all lines of a
    # day in memory.
    Given log lines of 2 runs that were preempted, 1 that failed and 1 that was done
    When the lost work is printed
    Then preemption comes first with 300 core-seconds of 2 runs, then the failure with 50 of 1

  Scenario: A job that no line names is a user error
    # Guards against a traceback or an empty answer when the operator gives the wrong logs.
    When an explanation of an unknown job is requested
    Then the command says which logs it needs
