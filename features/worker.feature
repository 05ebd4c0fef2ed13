Feature: Stand-in workers, runners over HTTP, pipes and metrics of a target process

  Scenario: A stopped part goes on from its checkpoint on another worker
    # Guards against a move that loses the work done before it.
    When a part of 0.6 s is stopped at a checkpoint after 0.4 s and started on another worker
    Then it finishes there in less than 0.5 s

  Scenario: Usage is reported with a lag and follows the throttle
    # Guards against estimates that are fed with usage which the platform does not know yet.
    When a part runs throttled to 0.5 on a worker whose usage lags by 0.3 s
    Then no usage is reported at first, and 0.5 after the lag

  Scenario: Faulty workers fail everything or ignore stops
    # Guards against tests of quarantine and of repeated stops that run on a healthy worker.
    Then a worker that fails everything fails a part and its probe
    And a worker that ignores stops finishes a part that was told to stop

  Scenario: A back end over HTTP answers, is late, fails or is gone
    # Guards against an answer that is not the back end's own, and against a call without an end.
    Then a back end over HTTP answers a request and its failures raise typed errors

  Scenario: A target process shows its metrics at the address in its settings
    # Guards against counters of the target's refusals that nobody can read.
    Then a target process with a metrics address shows there that it refused a message

  Scenario: A replaced target that goes on is not taken for the new one
    # Guards against a lease for the old process, and against parts of the new one taken for lost.
    Then an entry drops the statuses of an old incarnation while the new one is connected
