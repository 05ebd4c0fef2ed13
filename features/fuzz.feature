Feature: No external input raises an unhandled exception or takes effect only in part

  Scenario Outline: Random <input>: each is accepted or refused without a partial effect
    # Guards against a process that an unexpected value from outside stops with an unhandled
    # exception, and against a refused record or message that changes the state nevertheless.
    When hypothesis generates <count> cases of <input>
    Then each is accepted or refused with its expected error type

    Examples:
      | input                          | count |
      | configuration text             | 400   |
      | settings                       | 300   |
      | settings file                  | 150   |
      | damaged record bytes           | 400   |
      | damaged message bytes          | 400   |
      | records applied in sequence    | 400   |
      | messages handled by a target   | 400   |
      | messages handled by an owner   | 400   |
