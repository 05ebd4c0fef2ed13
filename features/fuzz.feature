Feature: No input from outside raises an unhandled exception or leaves a partial effect

  Scenario Outline: Any <input> is accepted whole or refused whole
    When hypothesis generates <count> cases of <input>
    Then each is accepted or refused by its typed error

    Examples:
      | input                          | count |
      | configuration text             | 400   |
      | settings                       | 300   |
      | settings file                  | 150   |
      | damaged record bytes           | 400   |
      | damaged message bytes          | 400   |
      | records folded in sequence     | 400   |
      | messages handled by a target   | 400   |
      | messages handled by an owner   | 400   |
