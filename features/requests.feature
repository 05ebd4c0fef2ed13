Feature: Short requests, limits at the entry and callers' errors

  Scenario: The own region's runners come first and their load includes other entries' requests
    # Guards against crossing the slow link between regions while a runner of the own region is
    # free, and against overloading a runner whose status does not show this entry's newest requests
    # yet: its load is what the status shows of other entries plus this entry's own count.
    Given runners in both regions
    When this entry sends 16 requests without an answer
    Then each runner of its own region has 8 of them
    And the next request crosses regions

  Scenario: Failing runners are ejected, but most of the runners stay in use
    # Guards against sending to a failed runner for ever, and against ejecting all runners when a
    # shared fault makes all of them fail.
    Given runners in both regions
    When every runner fails 5 times
    Then at most 1 of 4 is ejected, for a time that doubles

  Scenario: A target that leaves or lacks a dependency gets no requests
    # Guards against starting work that fails as soon as it calls its dependency, and against work
    # on a target that is drained.
    Given runners in both regions
    Then a request is refused with dependency_down when no runner of the dependency is left
    And a draining or scrapped target is never chosen

  Scenario: Retries end with the budget and the deadline, and non-idempotent ones need a proof
    # Guards against retry storms when many requests fail at once, and against a second run of a
    # non-idempotent request whose first run may have started.
    Then a non-idempotent request is retried only with a proof that it has not started
    And an organisation's retries end when its retry budget is used up
    And no retry starts beyond the deadline

  Scenario: Late, repeated and misdirected answers never reach another caller
    # Guards against a caller that gets another caller's answer, when answers are matched by
    # anything but the request id and the target that it was sent to.
    Given a router with a fake hub of 2 targets
    When answers arrive twice, late, from the wrong target and out of order
    Then each caller has the answer to its own request

  Scenario: A non-idempotent request moves to another runner only after a proof
    # Guards against a second run of a request that may have started before its pipe broke or its
    # target process restarted.
    Given a router with a fake hub of 2 targets
    Then a refused start moves to the other target
    And an unanswered start is reported as may_have_run
    And the proof request names the incarnation that the run request was sent to
    And a restarted target process cannot disprove a start
    And a broken pipe moves an idempotent request, and a short deadline ejects no runner

  Scenario: An answer that is damaged or too long is refused as may_have_run
    # Guards against passing on a part of an answer as if it were whole.
    Given a router with a fake hub of 2 targets
    Then a damaged answer is refused as may_have_run and an answer of 64 KiB + 1 with too_large
    And the target process refuses a damaged request and does not send an answer that is too long

  Scenario: Rate and queue limits refuse with a time to wait
    # Guards against one caller that takes all of an entry's capacity, and against refused callers
    # that retry at once because no waiting time is given.
    Then a caller above its burst is refused until its bucket has a token again
    And queued jobs above max_queued are refused per caller and per organisation

  Scenario: Bad input gets a typed refusal and has no effect
    # Guards against tracebacks, HTML error pages and work that a refused request has started.
    Given a deployment in this process
    Then each kind of bad input gets its status and a JSON refusal
    And bodies that hypothesis generates never get an internal error
    And no job was accepted by any of them
    And a sender of one byte at a time is cut off and its thread is free
    And a caller above its queue or rate limit gets 429 with Retry-After
    And an overloaded entry refuses more work with shed but answers health checks

  Scenario: A keyed request runs once whichever entries it is sent to
    # Guards against a second run when a request is submitted again at either entry, and against a
    # run that is not recorded in the log, as the next submission could not know of it.
    Given a deployment in this process
    Then a resubmission is answered by the same entry and refused as may_have_run by the other
    And with the log down a keyed request is refused with log_down as not run
    And a deadline is carried to the runner and never exceeds the service's timeout

  Scenario: A job is known at every entry as soon as one entry has accepted it
    # Guards against telling a caller that its job does not exist, so that it submits it again,
    # because the entry that it asks has not read the record yet in which another entry accepted it.
    Given a deployment in this process
    And the second entry reads the log half a second late
    When a job is submitted at the first entry
    Then the second entry knows the job at once, by its id and by its key
    And the second entry cancels another such job

  Scenario: A waiting caller continues at another entry when its entry stops
    # Guards against losing the result of a caller whose entry stops.
    Given a deployment in this process
    When the entry of a waiting caller stops
    Then the caller has the result through the other entry

  Scenario: A stopping entry completes its requests before it closes connections
    # Guards against closing connections while the load balancer still sends requests, as it has
    # not seen the failed health check yet.
    Given a deployment in this process
    When an entry with slow requests is stopped with its drain
    Then no request was cut and new work was refused with shutting_down
    And the status page and health check showed that it was stopping

  Scenario: Without the drain, connections close under running requests
    # Shows that the load of the previous scenario has requests cut when the drain is missing, so
    # that scenario does test the drain.
    Given a deployment in this process
    When an entry with slow requests is stopped without its drain
    Then requests were cut
