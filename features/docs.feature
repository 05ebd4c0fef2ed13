Feature: The reference is complete

  Scenario Outline: A reference page names everything that the code offers
    Guards against an option, reason or command that was added to the code and not documented.

    Then docs/reference/<page>.md names every <thing>

    Examples:
      | page         | thing            |
      | settings     | process setting  |
      | text         | text option      |
      | reasons      | refusal reason   |
      | reasons      | retry reason     |
      | command_line | command          |

  Scenario: Every link between pages leads to a file
    Guards against links to pages that were moved or never written.

    Then every relative link of README.md and docs leads to a file
