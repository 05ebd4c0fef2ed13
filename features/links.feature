Feature: Links between entries and targets

  Scenario: An unchanged status is sent as a heartbeat
    # Guards against a lease that a renewal makes longer or shorter than a welcome would, and against
    # an entry that goes on with a status it never got.
    Given an owner entry and a target that exchanged a status
    Then an unchanged status is a heartbeat whose renewal gives the lease of a welcome
    And a renewal of an unknown welcome and a heartbeat of an unknown status renew nothing
    And a changed configuration is sent whole

  Scenario: A heartbeat on a new pipe or of an old incarnation
    # Guards against a lease for a replaced target process, and against a target that stays unknown
    # after its pipe broke.
    Then a heartbeat on a new pipe is answered by a demand for the status
    And a heartbeat on the pipe of an old incarnation is dropped

  Scenario: A burst of messages to one target
    # Guards against messages that pynng drops without an error when a pipe's queue is full.
    Then a heartbeat on a new pipe is answered by a demand for the status
    And 2000 messages sent at once to a target arrive whole and in order

  Scenario: A silent target is lost exactly once and after the lease
    # Guards against a target that is lost early, and against one that is kept for ever.
    Given an owner entry and a target that exchanged a status
    Then the target is lost once, 7 s after its last heartbeat

  Scenario: Targets keep pipes inside their region
    # Guards against statuses on the slow link, and against targets without a pipe to their owner.
    Then a target gets the entries of its zone, the owner, and a few others of its region only

  Scenario: A request reaches a runner of another region
    # Guards against a refusal although a runner is available, and against an endless hop.
    Given an entry without runners, and an entry of another region with a runner
    Then a request through the first entry is answered by the runner, once
    And a request for which no entry has a runner is refused as not_run
    And bytes are counted by zone, and those across regions apart

  Scenario: An answer is lost on the hop
    # Guards against a second run of a request that may have run, and against "may have run" where
    # nothing was sent.
    Then a lost answer of a non-idempotent request is may_have_run and is not sent again
    And an idempotent request goes on to the next entry
    And a refused connection is not_run

  Scenario: A runner that raises anything frees its slot
    # Guards against a slot that stays taken, and against requests beyond 64 that wait for threads.
    Then a runner that raises SystemExit or answers with no bytes has all slots free again
    And 80 requests of a runner with 80 slots run at once
