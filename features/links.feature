Feature: Links between entries and targets

  Scenario: An unchanged status is sent as a heartbeat
    # Guards against a renewal (the answer to a heartbeat) that grants another lease than a welcome
    # (the answer to a status) would, longer or shorter, and against an entry that renews a lease
    # after a heartbeat although it never received the status to which the heartbeat refers.
    Given an owner entry and a target that exchanged a status
    Then an unchanged status is a heartbeat whose renewal gives the lease of a welcome
    And a renewal for an unknown welcome and a heartbeat for an unknown status renew no lease
    And a changed configuration is sent as a full welcome, also after one was lost

  Scenario: A heartbeat on a new pipe needs a status first, and an old incarnation's is dropped
    # Guards against a lease for a target process that was replaced, and against a target that stays
    # unknown to the entry after its pipe broke and it sent only heartbeats.
    Then a heartbeat on a new pipe is answered by a request for the status
    And a heartbeat on the pipe of an old incarnation is dropped

  Scenario: A burst of messages to one target arrives complete
    # Guards against lost messages: pynng drops them without an error when a pipe's queue is full.
    Then a heartbeat on a new pipe is answered by a request for the status
    And 2000 messages sent at once to a target arrive undamaged and in order

  Scenario: A silent target is lost exactly once and after the lease
    # Guards against a target that counts as lost before its lease ends, and against a silent one that
    # never counts as lost.
    Given an owner entry and a target that exchanged a status
    Then the target is lost once, 7 s after its last heartbeat

  Scenario: Targets open pipes only inside their region
    # Guards against statuses on the slow link between regions, and against targets without a pipe
    # to their owner.
    Then a target connects to the entries of its zone, the owner and a few others, all in its region

  Scenario: A request reaches a runner of another region
    # Guards against a refusal although another entry has a runner, and against entries that forward
    # a request to each other for ever.
    Given an entry without runners, and an entry of another region with a runner
    Then a request through the first entry is answered by the runner, once
    And a request for which no entry has a runner is refused as not_run
    And bytes are counted by zone, and separately if they cross regions

  Scenario: A request whose answer is lost between two entries is sent again only if idempotent
    # Guards against a second run of a non-idempotent request whose first run had no answer, and
    # against reporting "may have run" although nothing was sent.
    Then a lost answer of a non-idempotent request is may_have_run and is not sent again
    And an idempotent request is sent to the next entry
    And a refused connection is not_run and the next entry is tried

  Scenario: A runner frees its slot whatever exception it raises
    # Guards against a slot that stays occupied after its runner failed, and against requests beyond
    # 64 that wait for threads although slots are free.
    Then a runner that raises SystemExit or answers with no bytes has all slots free again
    And 80 requests of a runner with 80 slots run at once
