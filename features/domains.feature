Feature: Choice of a job's domain from domain summaries, without worker state of other regions

  Scenario Outline: A new job goes to the domain that serves it best
    Guards against queueing a job in a domain where it cannot run soon, while a domain of another
    region has room.

    Given domains litoral and platense with <litoral> and <platense> of 4 workers free
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

  Scenario: A job of a guaranteed shape goes to the domain of the guarantee
    Guards against a guarantee that stays unused while a job that it covers waits in another domain.

    Given domains litoral and platense with 0 and 4 of 4 workers free
    And the organisation's guarantee is in litoral
    When a job of 1 x 8 @ worker arrives in region platense
    Then it goes to domain litoral

  Scenario: A waiting job moves to a domain with room, but only a few times
    Guards against a job that stays queued in a full region, and against one that moves between
    regions again and again.

    Given domains litoral and platense with 0 and 4 of 4 workers free
    And 600 seconds of queued work in litoral
    Then a job that waited 5 seconds in litoral stays
    And a job that waited 20 seconds in litoral moves to platense
    And a job that moved 3 times and waited 20 seconds in litoral stays

  Scenario: A domain's summary does not offer planned cells or leaving targets
    Guards against a job that moves to a domain where it can never start, because the summary counts
    accelerators that other jobs may not use.

    Given a domain of 3 workers, one of them leaving and one with a planned cell of 4 accelerators
    Then its summary has room for 3 parts of 4 accelerators, 2 of them on one worker
