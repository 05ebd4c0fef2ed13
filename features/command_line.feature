Feature: The command line

  Scenario Outline: The shipped samples are valid
    Guards against shipping a sample text that an operator cannot publish.

    When the command line runs "check samples/<name>.ini"
    Then it exits with 0 and prints "valid"

    Examples:
      | name    |
      | camara  |
      | toowong |

  Scenario Outline: The error for an invalid text names section, line and remedy
    Guards against accepting a text that cannot be put in force, and against errors that don't say
    what to change.

    When a text with the line "<line>" in "<section>" is checked
    Then it exits with 65 and prints "<message>"

    Examples:
      | section                 | line                    | message                          |
      | service permit          | depends = nothing       | service 'nothing' is unknown     |
      | service permit          | depends = permit        | depend on each other             |
      | service permit          | slots = many            | give a whole number              |
      | service permit          | colour = red            | unknown option 'colour'          |
      | zone paysandu           | domain = platense       | spans two regions                |
      | zone paysandu           | region = nowhere        | region 'nowhere' is unknown      |
      | organisation rio-negro  | guarantee = 1 x 80 @ rack in litoral | is impossible       |
      | organisation rio-negro  | guarantee = 8 gpus      | is not a shape                   |
      | organisation rio-negro  | guarantee = 1 x 8 @ rack in nowhere | has no known domain  |
      | caller desk             | organisation = nobody   | organisation 'nobody' is unknown |
      | machine m1              | x = y                   | unknown kind of section          |

  Scenario: An operator publishes, reads back, and is told of a conflicting publication
    Guards against reporting a publication as accepted although another one on the same base
    version came first.

    Given a running deployment in this process
    When the operator runs "publish TEXT --base 0"
    Then it exits with 0 and prints "version 1 is accepted"
    When the operator runs "publish TEXT --base 0"
    Then it exits with 1 and prints "version 1 is in force"
    When the operator runs "show"
    Then it exits with 0 and prints "# version 1 by camara-operations"
    When the operator runs "diff TEXT"
    Then it exits with 0 and prints ""

  Scenario: An operator scraps a target and reads back when it is empty
    Guards against calling a target empty before it has received the version that scraps it.

    Given a running deployment in this process
    And the operator runs "publish TEXT --base 0"
    And all targets have version 1 in force
    And the text scraps target-0
    When the operator runs "publish TEXT --base 1"
    Then the operator's "drain" exits with 0 in the end and prints "target-0  empty"
    And the operator's "show" exits with 0 in the end and prints "1 of 1 targets have version 2"

  Scenario: A target that holds work or has not confirmed that it leaves is not empty
    Guards against an operator who switches off a target that still runs work or may start some.

    Given an owner's core with a target that runs a job
    When the target is scrapped
    Then the report names the job and the version that the target has not confirmed
    When the target confirms the version and the job ends
    Then the report calls the target empty

  Scenario: A caller submits, waits, reads the result, and is told what went wrong
    Guards against exit codes that mislead callers' scripts.

    Given a running deployment in this process
    And the operator runs "publish TEXT --base 0"
    And all targets have version 1 in force
    When the caller runs "submit permit --key a --parts 2 --json"
    Then it exits with 0 and prints "queued"
    When the caller runs "status a --by-key --wait 30"
    Then it exits with 0 and prints "finished"
    When the caller runs "status nothing"
    Then it exits with 1 and prints "no such job"
    When the caller runs "submit nothing --key b"
    Then it exits with 1 and prints "use one of: permit"
    When a stranger runs "status a --by-key"
    Then it exits with 77 and prints "no caller has this key"

  Scenario Outline: An invalid process setting is refused with a remedy
    Guards against a process that starts with settings it cannot use.

    When an entry is started with the setting "<setting>"
    Then it exits with 78 and prints "<message>"

    Examples:
      | setting                    | message               |
      | http_address = somewhere:1 | is not an address     |
      | colour = red               | unknown option        |
      | http_threads = many        | http_threads          |
      | renew_interval_s = -1      | is negative           |
