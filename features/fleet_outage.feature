Feature: Callers get true answers in time while the store is away, slow or silent

  Scenario: A call that waited through an outage does not hide that the store is back
    # Guards against callers that are refused for a second after the store has returned.
    Given a relay whose store is down
    When a call that began in the outage fails after a newer one has worked
    Then the store counts as reachable
    When a call fails that no newer one has followed
    Then the store counts as out of reach

  Scenario: The store itself is asked before a second peer
    # Guards against an entry that spends its time on peers that are gone.
    Given a relay whose store is down, with two peers that are gone
    When two calls fail, one right after the other
    Then the second one asked the store after the first peer

  Scenario: A refusal while the store is away is true and comes in time
    Given a front whose store is away
    When a job is submitted with a deadline of 1 second
    Then it is refused within half a second as not run, and nothing was appended

  Scenario: A request that comes again while the store is away is not held again
    # Guards against a caller that spends its whole time waiting at one entry.
    Given a front whose store is away
    When a job is submitted with a deadline of 1 second
    And a job is submitted with a deadline of 1 second
    Then it is refused at once as not run

  Scenario: A store that refuses one append gets the next one before the caller is refused
    # Guards against a refusal while the caller still has time.
    Given a front whose store refuses one append and takes the next
    When a job is submitted with a deadline of 1 second
    Then it is accepted with the second append

  Scenario: An append that got no answer is never refused as not run
    Given a front whose store answers nothing and then refuses
    When a job is submitted with a deadline of 1 second
    Then the answer does not claim that it has not run

  Scenario: A request whose earlier append got no answer is not refused as not run either
    # Guards against a false 503 for a job that is stored when its first append is carried out late.
    Given a front whose store answers nothing and then refuses
    When a job is submitted with a deadline of 1 second
    And a job is submitted with a deadline of 1 second
    Then the answer does not claim that it has not run

  Scenario: A request is answered in time although each append takes long to fail
    # Guards against an answer after the caller's deadline while the store is silent.
    Given a front whose store is silent for 0.4 seconds at each append
    When a job is submitted with a deadline of 1 second
    Then the answer does not claim that it has not run, and comes within half a second
