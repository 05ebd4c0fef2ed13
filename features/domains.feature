Feature: Choice of a job's domain without worker state crossing regions

  Scenario Outline: A new job goes to the domain that serves it best
    Guards against queueing a job where it cannot run while another region has room.

    Given domains litoral and platense with <litoral> and <platense> workers free of 4 each
    And <queued> seconds of queued work in litoral
    When a job of <parts> x <accelerators> @ <adjacency> arrives in region <region>
    Then it goes to domain <chosen>

    Examples:
      | litoral | platense | queued | parts | accelerators | adjacency | region   | chosen   |
      | 4       | 4        | 0      | 1     | 8            | worker    | platense | platense |
      | 4       | 4        | 0      | 1     | 8            | worker    | litoral  | litoral  |
      | 0       | 2        | 0      | 1     | 8            | worker    | litoral  | platense |
      | 2       | 2        | 600    | 2     | 8            | rack      | litoral  | platense |
      | 1       | 2        | 0      | 2     | 8            | rack      | litoral  | platense |
      | 0       | 0        | 900    | 2     | 5            | zone      | litoral  | platense |

  Scenario: A guaranteed shape goes where it is guaranteed
    Guards against a guarantee that stays unused while its job waits elsewhere.

    Given domains litoral and platense with 0 and 4 workers free of 4 each
    And the organisation's guarantee is in litoral
    When a job of 1 x 8 @ worker arrives in region platense
    Then it goes to domain litoral

  Scenario: A waiting job moves once another domain has room, and only a few times
    Guards against a job stuck in a full region, and against one that swings between regions.

    Given domains litoral and platense with 0 and 4 workers free of 4 each
    And 600 seconds of queued work in litoral
    Then a job that waited 5 seconds in litoral stays
    And a job that waited 20 seconds in litoral moves to platense
    And a job that moved 3 times and waited 20 seconds in litoral stays

  Scenario: Planned cells and leaving targets are no room for others
    Guards against a job that moves to a domain where it can never start.

    Given a domain of 3 workers, one of them leaving and one with a planned cell of 4
    Then its summary has room for 3 parts of 4, one worker with room for 2
