Feature: A cancel that was answered holds, whatever is still on its way

  Scenario Outline: A job whose submission is carried out after its cancel does not run
    # Guards against a job that runs after its caller was told that it does not exist: the store had
    # not answered its submission, and carried it out seconds later.
    Given two entries and an owner
    When a job is submitted at the first entry, and the store does not answer
    And it is cancelled <where>
    And the store carries the submission out
    Then the job does not start, also under the next owner, and is shown as canceled

    Examples:
      | where                                       |
      | at the second entry                         |
      | at the first entry                          |
      | at both entries                             |
      | at the first entry, which was started again |

  Scenario: A job that is submitted after its cancel does not run
    # Guards against a caller's repeated submission that is delayed and overtaken by its cancel.
    Given two entries and an owner
    When a job is cancelled that no entry knows
    Then it is not counted as waiting, and unknown at both entries
    When the job is submitted at the second entry
    Then the job does not start, also under the next owner, and is shown as canceled

  Scenario: A cancel that comes before its job does not reach a job of another organisation
    # Guards against a caller who keeps another organisation's jobs from running by their ids.
    Given two entries and an owner
    When another organisation cancels a job that no entry knows
    And the job is submitted at the second entry
    Then the job starts

  Scenario: What cancels of unknown jobs leave behind is bounded
    # Guards against one caller who fills the store and the entries with cancels.
    Given two entries and an owner
    When an organisation cancels 1000 jobs that no entry knows
    Then its next such cancel is answered with 429, and a repeated one with 410
    And the cancel of another organisation is answered with 410
    When the time for which ended jobs are kept has passed twice
    Then the store keeps no record of them, and each cancel is answered with 410

  Scenario: A cancel that came early is removed with its job
    # Guards against records that stay in the store for good.
    Given two entries and an owner
    When a job is cancelled that no entry knows
    And the job is submitted at the second entry
    And the time for which ended jobs are kept has passed twice
    Then the store keeps no record of them, and each cancel is answered with 410

  Scenario Outline: A cancel that is not stored is not acknowledged
    # Guards against an answer that promises what the store does not know.
    Given two entries and an owner
    When the store <trouble> and a job is cancelled that no entry knows
    Then the cancel is answered with <status>

    Examples:
      | trouble            | status |
      | is busy            | 503    |
      | answers no appends | 504    |
      | answers nothing    | 504    |
