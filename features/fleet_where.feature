Feature: The owner tells where a job would go, without submitting it

  Scenario: On a free fleet, a gang starts at once in one rack
    # Guards against an answer without the targets, or one that does not follow the placement.
    Given an idle fleet of 4 targets in 2 racks
    When the owner is asked about a gang of 2 tasks in one rack
    Then all its tasks would start at once on both targets of one rack
    And no job comes before it, and no guarantee covers it

  Scenario: On a full fleet, the answer names the runs that have to end, and when
    # Guards against "no room" as the whole answer, with which a caller cannot tell how long to wait.
    Given a fleet that is full of usual runs with 15 s left
    When the owner is asked about a usual job of 2 tasks
    Then both tasks would wait, and the run that ends next is named with 15 s left

  Scenario: On a fragmented fleet, a gang in one rack waits although enough targets are free
    # Guards against an answer that counts free targets without the constraints of the step.
    Given a fleet with one free target in each rack
    When the owner is asked about a usual gang of 2 tasks in one rack
    Then it would wait for a run in one of the racks
    But a gang that may span racks would start at once on the free targets

  Scenario: In evacuated zones, the job waits for the zone
    # Guards against an answer that promises a start in an evacuated zone, or hides why it waits.
    Given a fleet of two zones, of which one is evacuated
    When the owner is asked about a gang of 4 tasks
    Then it would wait as its targets are in evacuated zones, which are named with 2 targets

  Scenario: While the evacuations are not known, nothing would be placed
    # Guards against an answer for a moment at which the owner starts nothing at all.
    Given a fleet whose owner has not read the operators' topic lately
    When the owner is asked about a usual job of 1 task
    Then the answer says that nothing is placed now

  Scenario: A covered urgent job names the runs that it would stop, and their cost
    # Guards against urgent work whose victims are found out only after it was submitted.
    Given a fleet that is full of least urgent runs
    When the owner is asked about a covered urgent gang of 2 tasks
    Then it would start after 2 named runs are stopped, at a cost
    And the answer states that its guarantee of 24 accelerators covers 16

  Scenario: Urgent work beyond the guarantee waits for a run that ends soon
    # Guards against an answer that mixes up waiting for an end with stopping a run.
    Given a full fleet with a run that ends within a second
    When the owner is asked about an uncovered urgent job of 1 task
    Then it would start when the named run has ended, and stop none

  Scenario: The jobs that are placed before it count
    # Guards against an answer that ignores the work that waits already.
    Given a full fleet with 3 more urgent jobs that wait
    When the owner is asked about a least urgent job of 1 task
    Then 3 jobs come before it

  Scenario: A later step is told apart from a waiting one
    # Guards against a step that waits for another step and is shown as without room.
    Given an idle fleet of 4 targets in 2 racks
    When the owner is asked about a job whose second step depends on the first
    Then the first step would start at once, and the second one after it

  Scenario Outline: A job that can never start is told: <what>
    # Guards against a job that waits forever although the owner knows that nothing can hold it.
    Given an idle fleet of 4 targets in 2 racks
    When the owner is asked about a job that needs <what>
    Then the answer says that the step cannot start on the present targets

    Examples:
      | what                               |
      | 9 accelerators for a task          |
      | a label that no target has         |
      | a gang of 5 tasks                  |

  Scenario Outline: A question that makes no sense is refused by its typed error: <what>
    # Guards against an answer for a job that would never be accepted, or an untyped exception.
    Given an idle fleet of 4 targets in 2 racks
    When the owner is asked about a job <what>
    Then the question is refused with "<message>"

    Examples:
      | what                    | message                 |
      | of an unknown queue     | there is no queue       |
      | of 2001 tasks           | more than 2000          |
      | due since long ago      | are due together         |
      | that exists already     | exists already          |

  Scenario Outline: The job goes where the answer said: <load>
    # Guards against an answer that differs from what the owner does when the job is submitted.
    Given a fleet with all features under <load>
    When the owner is asked about several jobs, and each is submitted in an equal world
    Then each is placed where the answer said, and stops the runs that the answer named

    Examples:
      | load                        |
      | no load                     |
      | jobs that were not yet seen |
      | some load                   |
      | heavy load                  |

  Scenario: Asking changes nothing at all
    # Guards against a question that leaves a trace in jobs, targets, learned state, reservations,
    # counters or logs, and thereby changes a later decision.
    Given two equal fleets with all features
    When both live for 40 s with jobs, drains and failures, and one is asked in each round
    Then both have sent the same orders, stored the same progress, and logged and counted the same
    And all that both owners know is equal

  Scenario: A single question leaves the owner's state as it was
    # Guards against a trace that later passes happen to remove again.
    Given two equal fleets with all features
    When both live for 20 s, and then one is asked once
    Then all that both owners know is equal

  Scenario: Many questions take a small share of the owner's time
    # Guards against an asker in a loop that holds up planning.
    Given a desk for questions beside an idle fleet
    When a question takes 0.02 s and others follow at once
    Then they are refused until 9 times as long has passed

  Scenario: A question that was withdrawn is not worked on
    # Guards against an owner that catches up with questions whose askers have gone.
    Given a desk for questions beside an idle fleet
    When a question is withdrawn before its turn
    Then the owner does nothing for it

  Scenario: An owner's task that is held up answers within the time limit, one question at a time
    # Guards against threads of the control address, which also relays the store, that are used up
    # by questions.
    Given a control address whose owner's task is held up
    When two questions are asked at the same time
    Then one is answered 429 at once, the other one 504 after the time limit, and it is withdrawn

  Scenario: A fault of the owner in answering is a typed error
    # Guards against an unanswered future, or an owner's task that ends with a question.
    Given a desk for questions beside an idle fleet
    When answering raises an error that nobody expects
    Then the question is refused with "the owner failed to answer"

  Scenario: Any entry of a running fleet answers, and nothing is submitted
    # Guards against a command that works only if the owner is guessed, and against a question that
    # reaches the store or a runner.
    Given a store, two entries, and three target processes with runners
    When the command "where" asks each entry about a job of 5 tasks
    Then both times the owner answers that 5 tasks would start at once
    And nothing is in the topic of jobs, and no runner has started anything

  Scenario Outline: The command states what is wrong with a question: <what>
    # Guards against errors without a remedy, and against exit codes that a script cannot tell apart.
    Given a store, two entries, and three target processes with runners
    When the command "where" asks with <what>
    Then it exits with <code> and prints "<message>" and a remedy

    Examples:
      | what               | code | message                     |
      | an unknown key     | 77   | the API key is unknown      |
      | an unknown path    | 1    | no queue for host           |
      | a malformed body   | 1    | malformed: a body cannot    |
      | a body too large   | 1    | the body exceeds            |
      | a key in Greek     | 1    | cannot be sent              |
      | a closed address   | 69   | no answer from the entry    |
      | no control address | 2    | --control                   |

  Scenario: Without an owner, the command says so
    # Guards against a command that hangs, or blames the job, while nobody owns the schedule.
    Given a store, two entries, and three target processes with runners
    When the store is away until no entry owns the schedule, and the command "where" asks
    Then it exits with 75 and prints "no entry owns the schedule" and a remedy

  Scenario: An owner of a version without this question is named
    # Guards against "no owner" during an upgrade, while an older entry leads.
    Given an entry beside a leader whose name has no control address
    When it is asked where a job would go
    Then it answers 503 and names that leader
