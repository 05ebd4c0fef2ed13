Feature: Callers get correct answers in time while the store is unreachable, slow or silent

  Scenario: A call that waited through an outage does not hide that the store is back
    # Guards against callers that are refused for a second after the store has returned, because
    # the failure of an old call arrives after the success of a later one.
    Given a relay whose store is down
    When a call that began in the outage fails after a later call has succeeded
    Then the store counts as reachable
    When a call fails and no later one has been made
    Then the store counts as unreachable

  Scenario: A long poll without an answer does not count as a lost store
    # Guards against an entry that says that the store is lost, and sends all calls through peers,
    # because long polls hear nothing for a second while the store drops old records.
    Given a relay whose store is down, with two peers that do not answer
    When a long poll gets no answer
    Then the store counts as reachable
    And no peer was asked

  Scenario: The store itself is tried again before a second peer
    # Guards against an entry that asks one peer after another, though none of them answers, while
    # the store itself can be reached again.
    Given a relay whose store is down, with two peers that do not answer
    When two calls fail, one right after the other
    Then the second one asked the store after the first peer

  Scenario: A refusal while the store is unreachable is correct and comes in time
    # Guards against a refusal after the caller's deadline, and against one as not run after an
    # append that may be stored.
    Given a front whose store is unreachable
    When a job is submitted with a deadline of 1 second
    Then it is refused within half a second as not run, and nothing was appended

  Scenario: Nothing is appended to a store that has stopped answering
    # Guards against an append without an answer, after which the caller may not repeat its request,
    # in the seconds between the store's last answer and the first call that fails.
    Given a front whose store has stopped answering, which no call has shown yet
    When a job is submitted with a deadline of 1 second
    Then it is refused within half a second as not run, and nothing was appended

  Scenario: An append takes no longer than its caller waits
    # Guards against an answer after the caller's deadline, because appends that got no answer have
    # raised the time that each further one may take on each route.
    Given a front whose store leaves one append unanswered and refuses the rest
    When a job is submitted with a deadline of 1 second
    Then no append may take longer than a quarter of the deadline

  Scenario: A request that is repeated while the store is unreachable is not held again
    # Guards against a caller that spends its whole deadline waiting at one entry instead of trying
    # another.
    Given a front whose store is unreachable
    When a job is submitted with a deadline of 1 second
    And a job is submitted with a deadline of 1 second
    Then it is refused at once as not run

  Scenario: A refused append is repeated before the caller is refused
    # Guards against a refusal of a job that the store would accept before the caller's deadline.
    Given a front whose store refuses one append and accepts the next
    When a job is submitted with a deadline of 1 second
    Then it is accepted with the second append

  Scenario: An append that got no answer is never refused as not run
    # Guards against a false 503: the first append got no answer and may be stored, and the second is
    # refused.
    Given a front whose store leaves one append unanswered and refuses the rest
    When a job is submitted with a deadline of 1 second
    Then the answer leaves open whether it has run

  Scenario: A request whose earlier append got no answer is not refused as not run either
    # Guards against a false 503 for a job that is stored because the store carries out its first
    # append late.
    Given a front whose store leaves one append unanswered and refuses the rest
    When a job is submitted with a deadline of 1 second
    And a job is submitted with a deadline of 1 second
    Then the answer leaves open whether it has run

  Scenario: A request is answered in time although each append takes long to fail
    # Guards against an answer after the caller's deadline while the store does not answer.
    Given a front whose store is silent for 0.4 seconds at each append
    When a job is submitted with a deadline of 1 second
    Then the answer leaves open whether it has run, and comes within half a second

  Scenario: A silent topic is noticed although the store answers for other topics
    # Guards against appends without an answer, after which callers may not repeat their requests,
    # because answers for other topics make the store count as reachable.
    Given an entry whose store answers for each topic but that of the jobs
    When a job is submitted with a deadline of 1 second
    Then it is refused within half a second as not run, and nothing was appended

  Scenario: A request that waits for a silent topic is accepted once the topic answers
    # Guards against a refusal of a job whose caller would still have waited when the store returned.
    Given an entry whose store answers for the topic of the jobs again after 0.2 seconds
    When a job is submitted with a deadline of 1 second
    Then it is accepted with the first append

  Scenario: Requests that come together ask a silent topic once
    # Guards against each of many callers waiting for a probe of its own, one after the other.
    Given a topic that does not answer
    When 8 requests ask at once whether it answers
    Then one probe was sent, and each was told that it does not

  Scenario: A probe that hangs holds no request longer than the request may wait
    # Guards against a caller whose deadline passes while its entry waits for a probe, which takes
    # as long as all routes to the store together.
    Given a topic whose probe gets no answer for seconds
    When a request asks whether it answers, and may wait for 0.1 seconds
    Then it is told at once that the topic does not answer

  Scenario: An append without an answer makes the next request ask first
    # Guards against a second append into a topic that has just left one unanswered.
    Given a topic that answered and then left an append unanswered
    When a request asks whether it answers
    Then one probe was sent

  Scenario: A peer that has lost the store itself does not try a call of another entry
    # Guards against an answer that leaves open whether a job was accepted, because a peer that is
    # cut off as well was asked to append it.
    Given a peer whose own calls to the store fail
    When another entry sends it a call to the store
    Then it answers at once that nothing was carried out

  Scenario: A job is known to an entry that is far behind
    # Guards against 410 for an accepted job: one answer of the store does not hold all that an entry
    # has not read yet.
    Given two entries and an owner
    When 20 jobs are submitted at the first entry, and the store returns one record at a time
    Then the second entry knows the last of them
