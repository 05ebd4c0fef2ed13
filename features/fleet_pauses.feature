Feature: Silent, paused and restarted processes neither lose work nor act on lapsed permissions

  Scenario: A run is not stopped for the time in which its owner was paused
    # Guards against an owner that wakes up, takes the time that it slept for a standstill of all
    # runs, and orders them to stop, although another entry has taken over meanwhile.
    Given an owner whose job runs on one of 4 targets
    When the owner is paused for 9 seconds, and the next report shows the same progress
    Then no run was stopped

  Scenario: A run is not stopped while its runner does not answer
    # Guards against giving up runs of a runner that is only slow to list them: the target process
    # repeats the last listing, so the progress seems to stand still.
    Given an owner whose job runs on one of 4 targets
    When reports of 9 seconds repeat one listing of the run
    Then no run was stopped

  Scenario: A runner that does not answer gets no new work
    # Guards against starts on a runner that hangs, beside idle targets.
    Given an owner whose job runs on one of 4 targets
    When reports of 9 seconds repeat one listing of the run
    And four jobs of 7 accelerators are accepted
    Then none of them runs on that target

  Scenario: The runs of a runner that is down start elsewhere at once
    # Guards against waiting for ever for a runner that has crashed for good: its target process
    # lives and reports the runs that the runner listed last.
    Given an owner whose job runs on one of 4 targets
    When the target process reports that its runner is down
    Then the job's task starts on another target as run 2

  Scenario: A new owner waits for the leases that the previous owner may have kept
    # Guards against a second run of a task on another target: the previous owner was cut off from
    # the store and from the new owner, but answered the target's reports until it resigned.
    Given an owner whose job runs on one of 4 targets
    And the target is cut off from the owner that takes over
    When 18 seconds pass
    Then the job's task is not ordered again
    When 2 seconds pass
    Then the job's task starts on another target as run 2

  Scenario: A job whose planning raises an error costs only itself
    # Guards against one bad record that ends each planning pass, so that no job is placed.
    Given an owner whose job raises an error whenever it is planned
    When four jobs of 7 accelerators are accepted
    Then these jobs run, and one line tells which job cannot be planned

  Scenario: A job whose stored progress makes no sense costs only itself
    # Guards against one bad record that ends the takeover of every new owner.
    Given stored jobs, one of which has progress of a step that it does not have
    When an entry is elected as owner
    Then it has loaded the other jobs, and counts the one that it has not

  Scenario: An owner appends under the epoch of its election
    # Guards against appends that the store cannot refuse after the next election.
    Given stored jobs of one task each
    When an entry is elected as owner in generation 7
    Then all its appends carry epoch 7

  Scenario: An owner whose appends are fenced sends no orders and resigns
    # Guards against two owners that both order work around a takeover.
    Given stored jobs of one task each
    And an entry is elected as owner in generation 7
    When the store refuses its appends, as a newer owner was elected
    And a target reports to it
    Then the target gets no start, and is told that the entry does not own the schedule

  Scenario Outline: An owner that was cut off takes nothing that it could not store for stored
    # Guards against an entry that gives runs up while it is cut off, cannot store that, and starts
    # their tasks once more when it leads again, while they run or after they are done.
    Given stored jobs of one task each
    And an entry is elected as owner in generation 5
    And their tasks run on two targets
    And the entry loses the lead, and is elected as owner in generation 7
    When it is cut off for <seconds> seconds and resigns, <times> times in a row
    And <change> on the targets, and it is elected as owner in generation 9
    Then no task starts again

    Examples:
      | seconds | times | change           |
      | 12      | 1     | nothing changes  |
      | 12      | 2     | nothing changes  |
      | 30      | 1     | nothing changes  |
      | 12      | 1     | the tasks end    |

  Scenario: A new owner reads all that was stored before it plans
    # Guards against an entry that was frozen for seconds, reads the first part of what was stored
    # meanwhile, and starts tasks again that are done.
    Given stored jobs of one task each
    And an entry is elected as owner in generation 5
    And their tasks run on two targets
    And it loses the lead, and the next owner stores that the tasks are done
    When the store returns one record at a time, and the entry is elected in generation 9
    Then no task starts again

  Scenario: An entry that cannot read all that was stored does not take over
    # Guards against an owner that plans from what it knew before its pause.
    Given stored jobs of one task each
    And an entry is elected as owner in generation 5
    And their tasks run on two targets
    And it loses the lead, and the next owner stores that the tasks are done
    When the store returns no records, and the entry is elected in generation 9
    And a target reports to it
    Then the target gets no start, and is told that the entry does not own the schedule

  Scenario: An entry does not take over twice in one generation of the group
    # Guards against a term whose appends the store takes for repeats of the last term's, and keeps
    # nothing of: an owner that stops is told so, and a renewal that was under way confirms its lead
    # once more.
    Given stored jobs of one task each
    And an entry is elected as owner in generation 7
    When it is told that it does not lead, and then that it leads in generation 7
    And a target reports to it
    Then the target gets no start, and is told that the entry does not own the schedule
    And the entry leaves the group

  Scenario: An owner orders no stops before its lead is confirmed again after a pause
    # Guards against an owner that acts after its lead has lapsed: stops are not appended to the
    # store, so that no fence refuses them.
    Given an entry is elected as owner in generation 7
    When it is paused for 3 seconds, and a target reports a run that it does not know
    Then the target gets no stop
    When the store confirms its lead
    Then the target is told to stop that run

  Scenario: A confirmation of the lead counts from when the store was asked
    # Guards against a pause between asking the store and reading its answer.
    Given an entry is elected as owner in generation 7
    When a confirmation of its lead that was asked for 3 seconds ago arrives
    And a target reports a run that it does not know
    Then the target gets no stop

  Scenario: An entry does not join the group while another one does
    # Guards against entries that all join at once when the leader is lost: each one that joins
    # moves the lead, so that the schedule changes hands several times.
    Given an entry that finds the group without a leader
    When another entry joins the group before the first one does
    Then the first entry does not join

  Scenario: A member that was paused does not join again while another one leads
    # Guards against an entry that wakes from a pause, renews its membership and so takes the lead
    # from the entry that was elected meanwhile.
    Given an entry that was elected as leader
    When it is paused for 3 seconds while another entry joins the group
    Then it does not join, and knows that it does not lead

  Scenario: A member that has lost the lead leaves the group
    # Guards against a former owner that stays a member and is given the lead back, so that the
    # schedule changes hands once more while it cannot reach the store.
    Given an entry that was elected as leader
    When the store gives the lead to another member
    Then the entry leaves the group and does not join again

  Scenario: A target process ignores the orders of an earlier owner
    # Guards against an earlier owner that starts or stops runs, or keeps a lease alive.
    Given a target process that has orders of an owner with token 5
    When an owner with token 4 orders a start and a stop
    Then nothing is carried out, and the contact with an owner is not renewed

  Scenario: An order is carried out under the token that it came with, or not at all
    # Guards against an order of an earlier owner that waits in a queue, and is carried out under
    # the token of the next owner.
    Given a target process whose runner answers no call
    And an order of an owner with token 5 waits for a free thread
    When an owner with token 6 sends orders, and the runner answers again
    Then the order that waited is not carried out

  Scenario: An order that waited while the process was paused is not carried out
    # Guards against an order that is carried out seconds after its owner gave it.
    Given a target process whose runner answers no call
    And an order of an owner with token 5 waits for a free thread
    When the process is paused for 3 seconds, and the runner answers again
    Then the order that waited is not carried out

  Scenario: Orders that come while the target process stops are left to the next process
    # Guards against an error that ends the thread that receives orders, as the pool that carries
    # them out is closed already.
    Given a target process that has orders of an owner with token 5
    When the process stops, and an owner with token 5 orders a start and a stop
    Then nothing is carried out

  Scenario: An order for a runner that has crashed is not carried out on the one that follows
    # Guards against a run that its owner has given up with its runner and started elsewhere, and that
    # an order of before starts once more.
    Given a target process whose runner answers no call
    And an order of an owner with token 5 waits for a free thread
    When the runner is followed by another one, and that one answers
    Then the order that waited is not carried out

  Scenario: A call that began before its runner crashed says nothing of the one that follows
    # Guards against a run that is reported as running on a runner that never had it.
    Given a target process whose runner answers no call
    When a start for it is confirmed only after another runner has followed
    Then the runner that follows is reported without runs
    And the call named the runner that the order was for

  Scenario: A runner that refuses connections gets no new work, and has ended with its lease
    # Guards against runs that start again elsewhere while they go on behind a link that resets all
    # connections, against work that waits for a crashed runner, and against a single refusal that
    # counts as a crash.
    Given a target process whose runner has listed a run
    When the runner refuses one connection
    Then its target process reports it as up
    When it refuses connections for half a second more
    Then its target process reports it as unreachable, and its runs as going on
    When it refuses connections for 5.9 seconds more
    Then its target process reports it as unreachable, and its runs as going on
    When it refuses connections for 0.2 seconds more
    Then its target process reports it as down
    When it lists its runs again
    Then its target process reports it as up

  Scenario: A lease that the runner may have renewed without an answer counts
    # Guards against runs that are given up while a renewal keeps them alive whose answer was lost.
    Given a target process whose runner has listed a run
    When 1 second passes, and a renewal of the lease gets no answer
    And it refuses connections for 6 seconds more
    Then its target process reports it as unreachable, and its runs as going on
    When it refuses connections for 0.6 seconds more
    Then its target process reports it as down

  Scenario: A runner that cannot be reached gets no new work
    # Guards against starts on a runner that has crashed or is cut off, beside idle targets.
    Given an owner whose job runs on one of 4 targets
    When the target process reports that its runner cannot be reached
    And four jobs of 7 accelerators are accepted
    Then none of them runs on that target
    And no run was stopped

  Scenario: A listing that takes long does not keep runs from starting
    # Guards against starts that are dropped although the runner is well: it may hold a listing for
    # over a second, so the last one that it answered was requested more than two seconds ago.
    Given a target process whose runner has listed a run
    When a listing that was requested 1.3 seconds ago is answered, and 1.3 more seconds pass
    Then its runs may start under a lease

  Scenario: A lease is not renewed while the runner does not answer
    # Guards against calls without an answer that renew the lease for ever, so that nobody knows
    # when the runs have lapsed.
    Given a target process whose runner has listed a run
    When the runner answers no call for 3 seconds
    Then the lease is not renewed, and its target process reports it as up
    When the runner answers no call for 7 more seconds
    Then its target process reports it as down

  Scenario: Runs that outlive their lease are stopped before their owner starts their tasks elsewhere
    # Guards against a task that runs twice: a VM was suspended for a while, which the lease of its
    # runner does not count, and cut off as it woke.
    Given a target process whose runner has listed one run
    When its VM is suspended for 4 seconds
    And it asks its runner 8.3 seconds after its last contact to an owner
    Then its run goes on
    When it asks its runner 8.5 seconds after its last contact to an owner
    Then its run has been stopped before the owner takes it for lapsed

  Scenario: Runs on a VM that was suspended go on if their owner is heard in time
    # Guards against work that is thrown away, although its owner knows that it goes on.
    Given a target process whose runner has listed one run
    When its VM is suspended for 8.4 seconds
    And an owner answers its report
    And the target process asks its runner
    Then its run goes on

  Scenario: A runner's lease lasts longer by the time that its VM was suspended
    # Guards against runs that are given up while they go on: the clock of the target process counts
    # the time that its VM was suspended, that of its runner does not.
    Given a target process whose runner has listed a run
    When its VM is suspended for 4 seconds
    And it refuses connections for 5.9 seconds more
    Then its target process reports it as unreachable, and its runs as going on
    When it refuses connections for 0.7 seconds more
    Then its target process reports it as down

  Scenario: A lease is no longer by the time that its VM was suspended
    # Guards against a lease that outlasts what owners wait for: the time since the last listing
    # counted as time on the runner's clock, also while that stood still.
    Given a target process whose runner has listed a run
    When its VM is suspended for 2 seconds
    And 0.5 seconds later an owner answers its report
    Then a lease lasts until 6.5 seconds after the listing on the runner's clock
