Feature: Organisations get fair shares of contested capacity

  Background:
    Given an owner with fair shares and 4 targets of 8 accelerators

  # Load

  Scenario: An organisation that submits half of everything gets no more than its share
    # Guards against organisations that get nothing while one with many older jobs takes all room.
    When "big" submits 9 jobs, and then 3 others submit 3 jobs each
    Then each of the 4 organisations has a run on 1 target

  Scenario: Ten equal organisations compete for half of the capacity that they ask for
    # Guards against an order by acceptance, which serves the first organisations fully and the last
    # ones not at all.
    When 10 organisations submit 6 jobs of 1 accelerator each, one organisation after the other
    Then each of them has 3 or 4 runs
    When all runs end three times, and each organisation submits 3 more jobs each time
    Then the runs started of each organisation differ by at most 2

  Scenario: A small organisation submits its first job after an hour
    # Guards against a job that waits behind all that a large organisation has queued before.
    Given "big" has used all targets for 3600 seconds
    When "big" submits 8 jobs, and 1 second later "small" submits 1 job
    And one run ends
    Then the job of "small" starts

  Scenario: Recent usage counts against an organisation that holds nothing now
    # Guards against an organisation that takes all room again and again between short jobs.
    Given "big" has used all targets for 180 seconds
    When all runs end
    And "big" and then "small" submit a gang of 4 tasks
    Then "small" has runs on 4 targets

  Scenario: What an organisation holds counts at once
    # Guards against a burst that takes all room, as the average of its usage is still low.
    Given "big" has used 1 targets for 180 seconds
    And "small" has used 3 targets for 2 seconds
    When "small" submits 8 jobs, and 1 second later "big" submits 1 job
    And one run ends
    Then the job of "big" starts

  Scenario: Usage of long ago is forgotten
    # Guards against an organisation that pays for its usage for ever.
    Given "big" has used all targets for 180 seconds
    When all runs end, and 1200 seconds pass
    And "big" and then "small" submit a gang of 4 tasks
    Then "big" has runs on 4 targets

  Scenario: Weights set the shares
    # Guards against weights that are read and have no effect.
    Given the setting "weight.big" is "3"
    When "big" submits 9 jobs, and then 1 others submit 9 jobs each
    Then "big" has runs on 3 targets

  Scenario: A large gang gets its turn beside a stream of small jobs
    # Guards against a gang that needs the whole fleet and never finds it free, as each target that
    # becomes free goes to a small job of an organisation of lower usage.
    When "big" submits a gang of 4 tasks of 8 accelerators
    And "small" and "big" submit a job of 1 task of 8 accelerators each second
    Then the gang starts within its objective

  Scenario: A late large job starts although smaller late ones keep arriving
    # Guards against the largest jobs, which wait until they are worthless because late jobs are
    # ordered by their size.
    Given a late job of 4 tasks of "big", which is soon too late to be of use
    When "big" has many small jobs that have just become late
    Then the large one is first

  Scenario: A small job is not held up by a large one of its organisation
    # Guards against a short job that waits for all tasks of a long one that was accepted before.
    When "big" submits a job of 40 tasks, and 1 second later one of 1 task that takes 3 seconds
    Then the small job starts within its objective

  # What the shares leave alone

  Scenario: Where there is room for all, the deadlines decide
    # Guards against work that is delayed for fairness although there is capacity for it.
    Given "big" has used 1 targets for 60 seconds
    When "big" submits 1 jobs, and 1 second later "small" submits 1 job, before the owner plans
    Then both jobs are placed, and nothing was ordered by shares

  Scenario: A job that would miss its objective goes before one that can wait
    # Guards against shares that make a job late for one that has time.
    Given "big" has used all targets for 60 seconds
    When "big" submits a job without slack and "small" one with much slack
    Then the job of "big" is planned first

  Scenario: Urgent work within a guarantee is not charged
    # Guards against an organisation whose other work is held up because it used its guarantee.
    Given "sure" has used its guarantee of 3 targets with urgent work for 60 seconds
    Then the usage of "sure" is 0

  Scenario: Urgent work within a guarantee goes first, whatever its organisation has used
    # Guards against shares that break a guarantee.
    Given "sure" has used all targets for 60 seconds
    When "small" submits 4 urgent jobs and then "sure" submits 1 urgent job within its guarantee
    Then the urgent job of "sure" is planned first

  Scenario: Of equal runs, that of an organisation above its share is stopped
    # Guards against an organisation that loses its only run while another holds most of the fleet.
    Given "small" and then "big" fill the targets, "big" with 3 of 4
    When "sure" submits 1 urgent job within its guarantee that fits on one target
    Then a run of "big" has been stopped

  # Failures

  Scenario: Usage survives the owner
    # Guards against an organisation that starts from nothing whenever the owner dies.
    Given "big" has used all targets for 180 seconds
    When the owner dies, all runs end, and the next owner reads what it has learned
    And "big" and then "small" submit a gang of 4 tasks
    Then "small" has runs on 4 targets

  Scenario: The next owner plans by what runs hold if nothing was learned
    # Guards against an owner that cannot plan before it has read the record.
    Given "big" has used all targets for 60 seconds
    When the owner dies, and the next one reads nothing
    And "big" submits 8 jobs, and 1 second later "small" submits 1 job
    And one run ends
    Then the job of "small" starts

  Scenario Outline: A record that makes no sense changes nothing
    # Guards against one bad record that breaks an owner's planning or all later owners.
    Given "big" has used all targets for 60 seconds
    When a record <record> is merged
    Then it is reported as unreadable, and the usage of "big" is unchanged

    Examples:
      | record                 |
      | of random bytes        |
      | of version 2           |
      | with a usage of -1     |
      | with a usage of 50     |
      | with a usage of nan    |
      | with a time of nan     |
      | with a time of inf     |

  Scenario: Merging a record again, or one of an owner that was replaced, is harmless
    # Guards against usage that doubles each time a record is read, which an owner that has lost its
    # term and writes on would cause.
    Given "big" has used all targets for 60 seconds
    When its own record is merged 5 times, and then one of 600 seconds ago
    Then the usage of "big" is unchanged

  Scenario: A record of long ago counts little
    # Guards against an organisation that pays for its usage before a long outage of all entries.
    Given "big" has used all targets for 180 seconds
    When the owner dies, and the next one reads what it learned 600 seconds ago
    Then the usage of "big" was forgotten

  Scenario: The record is bounded
    # Guards against a record that the store refuses because of many organisations.
    Given 5000 organisations with long names have used the fleet
    When the record is written
    Then it has at most 20000 bytes and holds the organisations with the highest usage

  Scenario: A weight of an organisation that was removed from the configuration is ignored
    # Guards against a stale setting that stops planning or fills the log.
    Given the setting "weight.big" is "3"
    When "big" is removed from the configuration
    And "big" submits 9 jobs, and then 1 others submit 9 jobs each
    Then "big" has runs on 2 targets
    And the log says once that the weight of "big" is ignored

  Scenario Outline: A weight that is not positive is ignored
    # Guards against a division by 0, and against an organisation that never gets its turn.
    Given the setting "weight.big" is "<text>"
    When "big" submits 9 jobs, and then 1 others submit 9 jobs each
    Then "big" has runs on 2 targets
    And the log says once that the weight of "big" is ignored

    Examples:
      | text |
      | 0    |
      | -1   |
      | nan  |
      | much |

  Scenario: A job that cannot be planned costs only itself
    # Guards against one bad job whose demand cannot be worked out, so that nothing is planned.
    When a job that cannot be planned waits for the same room
    And "big" submits 9 jobs, and then 3 others submit 3 jobs each
    Then each of the 4 organisations has a run on 1 target
    And the log says that it cannot be planned

  Scenario: An invalid half-life fails the start, and names the remedy
    # Guards against a setting that is found wrong only when an owner takes over.
    Then a half-life of 0 seconds is refused when the settings are loaded

  Scenario: The metrics and the log show the shares
    # Guards against shares that nobody can see.
    Given an owner task with fair shares, on whose target a run of "sure" holds all accelerators
    Then the metrics show a share of 1 for "sure" and of 0 for "other"
    When "big" submits 9 jobs, and then 3 others submit 3 jobs each
    Then the log shows the share of an organisation whose unit waits

  Scenario: Without the feature, the deadlines decide
    # Guards against a deployment whose order changes although it does not use the feature.
    Given an owner without fair shares
    When "big" submits 9 jobs, and then 3 others submit 3 jobs each
    Then "big" has runs on 4 targets
