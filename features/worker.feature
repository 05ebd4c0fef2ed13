Feature: Stand-in workers, runners over HTTP, pipes and metrics of a target process

  Scenario: A stopped part continues from its checkpoint on another worker
    # Guards against a part that starts from the beginning after it was moved.
    When a part of 0.6 s is stopped at a checkpoint after 0.4 s and started on another worker
    Then it finishes there in less than 0.5 s

  Scenario: Usage is reported with a lag and follows the throttle
    # Guards against a stand-in that reports usage earlier than a real platform knows it, so that
    # tests of the estimates see better data than production does.
    When a part runs throttled to 0.5 on a worker whose usage lags by 0.3 s
    Then no usage is reported at first, and 0.5 after the lag

  Scenario: Faulty workers fail everything or ignore stops
    # Guards against tests of quarantine and of repeated stops that pass only because the stand-in
    # worker does not show the fault that it was given.
    Then a worker that fails everything fails a part and its probe
    And a worker that ignores stops finishes a part that was told to stop

  Scenario: A back end over HTTP answers, is too slow, fails or is unreachable
    # Guards against a failure that is taken for the back end's answer, and against a call that
    # never returns.
    Then a back end over HTTP answers a request and its failures raise typed errors

  Scenario: A target process serves its metrics at the address in its settings
    # Guards against refusals by the target that are counted but that no operator can read.
    Then a target process with a metrics address serves a count of refused messages there

  Scenario: An old process of a replaced target is not taken for the new one
    # Guards against a lease for the old process, and against parts of the new process that count as
    # lost because a status of the old one does not list them.
    Then an entry drops the statuses of an old incarnation while the new one is connected
