Feature: Targets that fail their work get less of it until they prove themselves

  # Load

  Scenario: A zone whose runners fail 45% of what they start
    # Guards against a fault that is found on each target anew, and that successes hide.
    Given a fleet of 6 zones of 10 targets under load
    When the runners of a zone fail 45% of what they start for 45 seconds
    Then all targets of that zone were restricted 1 second after its first failure
    And at most 5% of the starts of the last 30 seconds were on them
    And at most 4 jobs have failed

  Scenario: A zone that has recovered gets work again
    # Guards against targets that stay out of service after a fault.
    Given a fleet of 6 zones of 10 targets under load
    When the runners of a zone fail 45% of what they start for 20 seconds
    And they are well for 150 seconds under a load above what the others can hold
    Then all targets are trusted

  Scenario: A fifth of the targets flaps at one second
    # Guards against targets that are given work each time they come back.
    Given a fleet of 6 zones of 10 targets under load
    When a fifth of the targets flaps at 1 second for 60 seconds
    Then at most 8% of the starts of the last 30 seconds were on them
    And a pause was at least 32 seconds, and none longer than 120 seconds

  Scenario: A fifth of the targets restarts a lot and is well
    # Guards against healthy targets that are kept out of service by what they say of themselves.
    Given a fleet of 6 zones of 10 targets under load
    When a fifth of the targets restarts whenever it is idle for 60 seconds
    Then no target was ever avoided
    And at least 15% of the starts of the last 30 seconds were on them

  Scenario: Restarts alone never avoid a target, and not at all one that has proved itself
    # Guards against a witness of no proof that keeps a healthy target out of service.
    Given 2 zones of 6 targets, known to an owner
    When target 0 restarts 20 times
    Then target 0 is on probation
    When 4 jobs succeed on target 0
    Then all targets are trusted
    When target 0 restarts 20 times
    Then all targets are trusted

  Scenario: A tenth of the targets hangs
    # Guards against targets that are given work again and again and never end any.
    Given a fleet of 6 zones of 10 targets under load
    When a tenth of the targets hangs for 60 seconds under a load above what the others can hold
    Then at most 2% of the starts of the last 30 seconds were on them

  Scenario: Of a queue, 3 jobs in 100 fail everywhere
    # Guards against jobs that take healthy targets out of service.
    Given a fleet of 6 zones of 10 targets under load
    When 3 of 100 jobs fail wherever they run, for 60 seconds
    Then at most 3 targets were restricted at once, and none was ever avoided

  Scenario: All targets fail most of what they start
    # Guards against a fleet that is out of service as a whole.
    Given a fleet of 6 zones of 10 targets under load
    When all targets fail 90% of what they start for 30 seconds
    Then at most 20 targets were avoided at once, and 30 restricted
    And targets were spared

  # Blame

  Scenario: A job that fails on several targets explains its own failures
    # Guards against targets that are restricted for a job that can be done nowhere.
    Given 2 zones of 6 targets, known to an owner
    When job "a" fails on targets 0, 1, 2 and 3
    And job "b" fails on target 0
    Then all targets are trusted

  Scenario: Failures of several jobs on one target are the target's
    # Guards against a target that goes on failing work.
    Given 2 zones of 6 targets, known to an owner
    When job "a" fails on targets 0
    And job "b" fails on target 0
    Then target 0 is on probation

  Scenario: Many failures of one job on one target are not enough
    # Guards against a target that is restricted for one bad job with many tasks.
    Given 2 zones of 6 targets, known to an owner
    When job "a" fails 8 times on target 0
    Then all targets are trusted

  Scenario: Successes before a fault do not hide it
    # Guards against a score that a long good time delays.
    Given 2 zones of 6 targets, known to an owner
    When 200 jobs succeed on target 0
    And job "a" fails on targets 0
    And job "b" fails on target 0
    Then target 0 is on probation

  Scenario: A failure on probation that its job explains later is taken back
    # Guards against a growing pause for a job that fails everywhere.
    Given 2 zones of 6 targets, known to an owner
    And target 0 is on probation after failures of two jobs
    When job "c" fails on targets 0
    Then target 0 is avoided
    When job "c" fails on targets 1, 2 and 6
    Then target 0 is on probation

  Scenario: A job that fails on bad targets only is not blamed
    # Guards against a failing target that stays trusted, as its jobs failed on other bad ones too.
    Given 2 zones of 6 targets, known to an owner
    And target 0 is on probation after failures of two jobs
    And target 1 is on probation after failures of two jobs
    When job "c" fails on targets 0, 1 and 6
    And job "d" fails on targets 0, 1 and 6
    Then target 6 is on probation

  Scenario: One crash that ends many jobs is one failure
    # Guards against a machine that is avoided for one crash, as all its jobs were lost at once.
    Given 2 zones of 6 targets, known to an owner
    When 8 jobs are lost on target 0 at once
    Then all targets are trusted

  Scenario: A zone that loses its link once is trusted when it is back
    # Guards against a zone that is restricted although none of its targets failed.
    Given a fleet of 6 zones of 10 targets under load
    When a zone is silent for 15 seconds and then reports again
    Then all targets are trusted

  Scenario Outline: An end that was ordered or announced counts against nobody
    # Guards against targets that are restricted for planned departures and stops.
    Given 2 zones of 6 targets, known to an owner
    When 4 jobs end as <kind> on target 0, as was expected
    Then all targets are trusted

    Examples:
      | kind     |
      | lost     |
      | failed   |
      | rejected |

  Scenario: The runs that a draining target loses are expected
    # Guards against a machine that is restricted after a rolling replacement.
    Given a fleet of 1 zones of 6 targets without load
    When runs are lost twice on target 0, which drains
    Then nothing speaks against target 0

  # Steps

  Scenario: A target on probation gets one cheap task at a time
    # Guards against a failing target that ends much work at once.
    Given a fleet in which only a target on probation has room
    When 5 cheap tasks are accepted
    Then 1 task runs on the target on probation
    When it ends as done
    Then 1 task runs on the target on probation
    When it ends as done
    Then the target on probation is trusted, and has 3 tasks

  Scenario Outline: A target on probation gets no task that would lose much
    # Guards against long work that is lost on a target that fails it.
    Given a fleet in which only a target on probation has room
    When a task that is <kind> is accepted
    Then <count> task runs on the target on probation

    Examples:
      | kind                      | count |
      | long                      | 0     |
      | long and checkpointed     | 1     |
      | cheap and urgent          | 0     |
      | cheap and a gang of two   | 0     |

  Scenario: A target that fails on probation is avoided for longer each time
    # Guards against a pause that is always the same for a target that always fails.
    Given 2 zones of 6 targets, known to an owner
    And target 0 is on probation after failures of two jobs
    When a run fails on target 0 each time it is on probation, 7 times
    Then its pauses were 16, 32, 64, 120, 120, 120 and 120 seconds

  Scenario: Strikes are forgotten
    # Guards against a machine that pays for its failures for ever.
    Given 2 zones of 6 targets, known to an owner
    And target 0 is on probation after failures of two jobs
    When a run fails on target 0 each time it is on probation, 3 times
    And 900 seconds pass for that owner
    Then nothing is learned of target 0

  Scenario: Without cheap tasks, probation ends by itself
    # Guards against a target that stays on probation, as all work are gangs.
    Given 2 zones of 6 targets, known to an owner
    And target 0 is on probation after failures of two jobs
    When 121 seconds pass for that owner
    Then all targets are trusted

  # Urgent work and gangs

  Scenario: Urgent work within its guarantee starts on a target on probation, then on an avoided one
    # Guards against a guarantee that is broken for targets that may be well.
    Given a fleet of 6 targets, of which 3 are trusted, 1 is on probation and 2 are avoided
    When urgent work within its guarantee takes all trusted targets
    And 1 more urgent task within its guarantee is accepted
    Then it starts on the target on probation within 2.9 seconds
    When 1 more urgent task within its guarantee is accepted
    Then it starts on an avoided target within 2.9 seconds

  Scenario: Urgent work within its guarantee uses trusted targets while they suffice
    # Guards against urgent work on a failing target while another run could be stopped for it.
    Given a fleet of 6 targets, of which 3 are trusted, 1 is on probation and 2 are avoided
    When other work takes all trusted targets
    And 1 more urgent task within its guarantee is accepted
    Then it starts on a trusted target within 2.9 seconds

  Scenario: A gang waits for trusted targets
    # Guards against a gang that ends with its member on a failing target.
    Given a fleet of 6 targets, of which 3 are trusted, 1 is on probation and 2 are avoided
    When a gang of 3 whole targets is accepted
    Then it runs on trusted targets only
    When another gang of 3 whole targets is accepted
    Then it waits

  Scenario: A gang that needs more than the trusted targets starts nevertheless
    # Guards against a gang that waits for ever.
    Given a fleet of 6 targets, of which 3 are trusted, 1 is on probation and 2 are avoided
    When a gang of 6 whole targets is accepted
    Then it runs

  Scenario: Of two trusted targets, a gang goes to the one without failures
    # Guards against a gang on a target that has just failed a task.
    Given a fleet of 1 zones of 6 targets without load
    When target 0 has failed one job
    And a gang of 5 whole targets is accepted
    Then target 0 is idle

  # Failures

  Scenario: What was learned survives the owner
    # Guards against bad targets that are trusted whenever the owner dies.
    Given 2 zones of 6 targets, known to an owner
    And target 0 is on probation after failures of two jobs
    And a run has failed on target 0, which is avoided
    When that owner dies, and the next one reads what it learned 2 seconds ago
    Then target 0 is avoided
    When 13 seconds pass for that owner
    Then target 0 is avoided
    When 2 seconds pass for that owner
    Then target 0 is on probation

  Scenario: A failing zone is known to the next owner
    # Guards against a zone that each owner has to find anew.
    Given 4 zones of 6 targets, known to an owner
    And 4 jobs have failed on 4 targets of zone 0
    When that owner dies, and the next one reads what it learned 2 seconds ago
    Then no target of zone 0 is trusted, and all others are

  Scenario: The next owner trusts all targets if nothing was learned
    # Guards against an owner that cannot plan before it has read the record.
    Given 2 zones of 6 targets, known to an owner
    And target 0 is on probation after failures of two jobs
    When that owner dies, and the next one reads no record
    Then all targets are trusted

  Scenario Outline: A health record that makes no sense changes nothing
    # Guards against one bad record that breaks all later owners.
    Given 2 zones of 6 targets, known to an owner
    And target 0 is on probation after failures of two jobs
    When a health record <record> is merged
    Then that owner takes it as unreadable
    And target 0 is on probation

    Examples:
      | record                     |
      | of random bytes            |
      | of version 2               |
      | with a score of nan        |
      | with a score of 1000       |
      | with a negative score      |
      | with step 3                |
      | with 1000 strikes          |
      | with a pause of inf        |
      | with a time of inf         |
      | with a time of nan         |
      | with a group of level 7    |

  Scenario: A health record may be merged repeatedly, and that of a replaced owner too
    # Guards against scores that rise each time a record is read.
    Given 2 zones of 6 targets, known to an owner
    And target 0 is on probation after failures of two jobs
    When its own health record is merged 5 times
    Then target 0 is on probation
    And the score of target 0 is unchanged

  Scenario: A health record of long ago counts little
    # Guards against targets that are restricted for a fault before a long outage of all entries.
    Given 2 zones of 6 targets, known to an owner
    And target 0 is on probation after failures of two jobs
    And a run has failed on target 0, which is avoided
    When that owner dies, and the next one reads what it learned 900 seconds ago
    Then nothing is learned of target 0

  Scenario: The health record is bounded
    # Guards against a record that the store refuses because of many machines.
    Given 3000 machines with long names have failed, the last ones most
    Then the health record has at most 26000 bytes and holds the last machines

  Scenario: A machine that restarts under another id keeps its standing
    # Guards against a failing machine that is trusted again by a restart.
    Given a fleet of 6 targets, of which 3 are trusted, 1 is on probation and 2 are avoided
    When all targets restart under other ids
    Then 3 targets are trusted, 1 is on probation and 2 are avoided

  Scenario: Without the feature, failures of two jobs quarantine a target for 8 seconds
    # Guards against a deployment whose decisions change although it does not use the feature.
    Given a fleet of 1 zones of 6 targets without load and without target health
    When target 0 has failed two jobs
    Then target 0 gets no work for 8 seconds, and then as usual

  Scenario: The log, the counters and the gauges show each step
    # Guards against targets that get no work and nobody can see why.
    Given a fleet of 6 targets, of which 3 are trusted, 1 is on probation and 2 are avoided
    Then the log has each step of them with its reason, and the counters too
    Given an owner task with target health, one of whose 6 targets is on probation
    Then its gauges show 5 trusted targets and 1 on probation
