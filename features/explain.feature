Feature: A failed request is explained from the log lines of all processes

  Scenario Outline: The story of a job that was <outcome> ends in its cause
    Given log lines of a job that was <outcome>, among others
    When its story is printed
    Then it is in order of time, names no other job, and the cause says "<cause>"

    Examples:
      | outcome   | cause                                  |
      | refused   | it was refused: the store is away      |
      | cancelled | its caller cancelled it                |
      | failed    | it ended as failed: it failed 2 times  |
      | lost      | a run was lost: no report for 9.0 s    |

  Scenario: A job that no line names is a user error
    When the story of an unknown job is asked for
    Then the command says which logs to give
