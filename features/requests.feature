Feature: Short requests, limits at the entry and callers' errors

  Scenario: The own region's runners come first and slots are counted twice
    # Guards against crossing the slow link while a near runner is free, and against overfilling a
    # runner whose status does not show this entry's newest requests yet.
    Given runners in both regions
    When this entry sends 16 requests without an answer
    Then each runner of its own region has 8 of them
    And the next request crosses regions

  Scenario: Failing runners are ejected, but never most of them
    # Guards against sending to a dead runner for ever, and against ejecting all after a shared fault.
    Given runners in both regions
    When every runner fails 5 times
    Then at most 1 of 4 is ejected, for a time that doubles

  Scenario: A leaving target or one without its dependency gets nothing
    # Guards against starting work that fails half way, and against work on a target being drained.
    Given runners in both regions
    Then a request is refused with dependency_down when no runner of the dependency is left
    And a draining or scrapped target is never chosen

  Scenario: Retries are bounded by budget, deadline and proof
    # Guards against retry storms and against a second run of a non-idempotent request.
    Then a non-idempotent request is repeated only after a proof
    And an organisation's retries end with its budget
    And no retry starts beyond the deadline

  Scenario: Late, repeated and foreign answers never reach another caller
    # Guards against matching answers by anything but the request id and its target.
    Given a router with a fake hub of 2 targets
    When answers arrive twice, late, from the wrong target and out of order
    Then each caller has the answer to its own request

  Scenario: A non-idempotent request moves to another runner only after a proof
    # Guards against running twice what a broken pipe or a restarted target process left open.
    Given a router with a fake hub of 2 targets
    Then a refused start moves to the other target
    And an unanswered start is reported as may_have_run
    And a question names the incarnation that the request was sent to
    And a restarted target process disproves nothing
    And a broken pipe moves an idempotent request, and a short deadline ejects no runner

  Scenario: An answer that is damaged or too long is refused as may_have_run
    # Guards against passing on part of an answer.
    Given a router with a fake hub of 2 targets
    Then a damaged answer is refused as may_have_run and an answer of 64 KiB + 1 with too_large
    And the target process refuses a damaged request and keeps back an answer that is too long

  Scenario: Rates and queue limits refuse with a time to wait
    # Guards against one caller using up the entry, and against a refusal that invites a retry storm.
    Then a caller above its burst is refused until its bucket has a token again
    And queued jobs above max_queued are refused per caller and per organisation

  Scenario: Bad input gets a typed refusal and has no effect
    # Guards against tracebacks, HTML error pages and partly done work.
    Given a deployment in this process
    Then each kind of bad input gets its status and a JSON refusal
    And bodies that hypothesis makes up never get an internal error
    And no job was accepted by any of them
    And a sender of one byte at a time is cut off and its thread is free
    And a caller above its queue or rate limit gets 429 with Retry-After
    And a busy entry refuses more work with shed but answers health checks

  Scenario: A keyed request runs once through all entries
    # Guards against a second run of a resubmission, and against running without a record.
    Given a deployment in this process
    Then a resubmission is answered by the same entry and refused as may_have_run by the other
    And with the log down a keyed request is refused with log_down as not run
    And a deadline is carried to the runner and never exceeds the service's timeout

  Scenario: A waiting caller goes on through another entry
    # Guards against losing the result of a caller whose entry stops.
    Given a deployment in this process
    When the entry of a waiting caller stops
    Then the caller has the result through the other entry

  Scenario: A stopping entry cuts no request
    # Guards against closing connections that the balancer still uses.
    Given a deployment in this process
    When an entry with slow requests is stopped with its drain
    Then no request was cut and new work was refused with shutting_down
    And the status page and health check told that it was stopping

  Scenario: Without the drain requests are cut
    # Shows that the scenario before this one can fail.
    Given a deployment in this process
    When an entry with slow requests is stopped without its drain
    Then requests were cut
