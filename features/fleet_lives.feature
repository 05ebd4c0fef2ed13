Feature: Only the runner itself says which life of a target its VM runs

  Scenario Outline: A heartbeat of another writer, <oddity>, replaces no sound runner
    # Guards against runs that are given up and started again elsewhere while they go on: a
    # heartbeat was taken as proof that the life that it names had begun and the present one ended.
    Given a target process whose runner has listed one run
    When a heartbeat arrives that has <oddity>
    And the target process asks its runner
    Then it still reports the runner's life with its run
    And the start of another task is carried out on the runner

    Examples:
      | oddity                                  |
      | another id and an unknown service       |
      | another id and a later start            |
      | another id and the same start           |
      | another id and an earlier start         |
      | its id and a later start                |
      | its id and an earlier start             |
      | its id and no start                     |

  Scenario: The next runner of a VM takes its place as soon as it has answered
    # Guards against a machine that stays without work, as the heartbeats of its next runner are not
    # believed.
    Given a target process whose runner has listed one run
    When another runner follows on the VM and sends a heartbeat
    And the target process asks its runner
    Then it reports the next runner, without runs

  Scenario: A runner that answers as another target has ended, also before its heartbeat
    # Guards against work that waits for a heartbeat, though the answer of the next runner shows that
    # nothing is left of the one before.
    Given a target process whose runner has listed one run
    When another runner follows on the VM
    And the target process asks its runner
    Then it reports its target as down
    When that runner sends a heartbeat
    And the target process asks its runner
    Then it reports the next runner, without runs

  Scenario: A late heartbeat of a former runner is nothing to a target process that has restarted
    # Guards against a new owner that starts running tasks again: the restarted process took the
    # former runner for the present one and told the owner so.
    Given a target process that has restarted beside a runner with one run
    When a late heartbeat of the runner before arrives
    And the target process asks its runner
    Then it reports nothing to the owner
    When its runner sends a heartbeat
    And the target process asks its runner
    Then it still reports the runner's life with its run

  Scenario: A target process that has restarted learns the owner's token before its runner
    # Guards against a process that never learns which life its runner is: a runner refuses calls
    # with a token older than the owner's, and orders came for reported targets only.
    Given a target process that has restarted beside a runner that has seen the owner's token
    When its runner sends a heartbeat
    And the target process asks its runner
    Then it asks the owner for its token, and names no target
    When the owner answers
    And the target process asks its runner
    Then it still reports the runner's life with its run
    And the answer was no contact that keeps the runner's lease alive

  Scenario: A request for a token changes nothing that the owner knows
    # Guards against an owner that gives up the runs of a target whose process has restarted.
    Given an entry is elected as owner in generation 7
    When a target process asks for its token
    Then that process gets token 7 without starts and stops, and no target has joined

  Scenario: An entry that does not own the schedule says so when it is asked for a token
    # Guards against a target process that waits at a former owner.
    Given stored jobs of one task each
    When a target process asks an entry for its token that was never elected
    Then that process is told that the entry does not own the schedule

  Scenario: More foreign heartbeats than are kept do not keep the real one out
    # Guards against a runner that never serves because other heartbeats fill what is remembered.
    Given a target process that has restarted beside a runner with one run
    When 50 heartbeats of other ids arrive, and then one of its runner
    And the target process asks its runner
    Then it still reports the runner's life with its run

  Scenario: A runner that starts again under its id gets no work until its heartbeat
    # Guards against starts for the former life that the next one carries out: the two were told
    # apart by heartbeats only, and the first one may come some seconds after the start.
    Given a target process whose runner has listed one run
    When its runner starts again under its id
    And the target process asks its runner
    Then it reports the runner's next life, without runs and to take no work
    And a start for the former life is not carried out
    When its runner sends a heartbeat
    Then it reports that the runner's next life takes work

  Scenario Outline: A run starts again only when <what> has ended or refused it
    # Guards against two runs of a task: a start that was on its way when its runner started again
    # under its id is carried out by the next life, while the owner has given the run up.
    Given an owner whose job runs on one of 4 targets
    And <what> has started again under its id, and its next life has carried out the start
    When the owner has heard of the next life
    Then the job's task has not started again
    When the next life has stopped the run
    Then the job's task starts again as run 2

    Examples:
      | what                       |
      | its target                 |
      | its target for a new owner |

  Scenario: A run that the next life under its target's id never got starts again
    # Guards against work that waits for the end of a run that no life of its target has.
    Given an owner whose job runs on one of 4 targets
    And its target has started again under its id without the run
    When the owner has heard of the next life
    Then the job's task has not started again
    When the next life has refused the run
    Then the job's task starts again as run 2

  Scenario: A message that a sound runner leaves ends none of its runs
    # Guards against runs that start again elsewhere while they go on: a message that was late, or
    # from another writer, was taken for the end of the runner.
    Given a target process whose runner has listed one run
    When a message arrives that its target leaves
    And the target process asks its runner
    Then it still reports the runner's life with its run
    And it reports no departure
    And a start is refused, as its target may leave
    When its runner sends a heartbeat
    Then the start of another task is carried out on the runner

  Scenario: A runner that has left is gone once its lease has lapsed, not when it refuses connections
    # Guards against a task that runs twice: a departure and refused connections together were taken
    # for the end of a runner that went on behind a cut. And against work that waits for ever for a
    # runner that has ended as it announced.
    Given a target process whose runner has listed one run
    When a message arrives that its target leaves
    And its runner refuses connections for 0.4 seconds
    Then it reports no departure
    And it reports its run as going on, and takes no work
    When its runner refuses connections for 5.7 seconds
    Then it reports no departure
    When its runner refuses connections for 0.2 seconds
    Then it reports the departure of its target

  Scenario: A runner that has left is gone as soon as another one answers in its place
    # Guards against work that waits for the lease of a runner whose end is proven.
    Given a target process whose runner has listed one run
    When a message arrives that its target leaves
    And another runner follows on the VM
    And the target process asks its runner
    Then it reports the departure of its target

  Scenario: A foreign heartbeat with a high number silences a sound runner for some seconds only
    # Guards against a runner that is never used again, as its own heartbeats count as old.
    Given a target process whose runner has listed one run
    When another writer names its id and start, an unknown service and a high number
    And its runner sends 4 heartbeats 1.5 seconds apart
    Then it still reports the runner's life with its run

  Scenario: A late heartbeat of a runner that goes on sending does not count
    # Guards against a room or a state that a delayed heartbeat puts in force again.
    Given a target process whose runner has listed one run
    When its runner sends 4 heartbeats 1.5 seconds apart
    And two heartbeats with lower numbers and less room arrive
    Then it reports the room of its runner

  Scenario Outline: A late report of a former life ends no run of the present one: <knows>
    # Guards against an owner that starts running tasks again: it was paused, and a report that waited
    # meanwhile tells of a life before the one that has its runs.
    Given an owner whose job runs on a target that has started again <how>
    And <knows>
    When a report of the target's former life arrives late
    Then the job's task has not started again, and only the present target is known
    When 3 seconds pass
    Then the job's task has not started again

    Examples:
      | how              | knows                                           |
      | under its id     | the owner knows the present life                |
      | under its id     | a new owner takes over that has no report yet   |
      | under another id | the owner knows the present target              |
      | under another id | a new owner takes over that has had no report   |

  Scenario: A start that is refused soon after a restart is final only once a listing shows so
    # Guards against a run that starts elsewhere while a start of the process before is carried out:
    # the stop that precedes the rejection takes its time.
    Given a target process whose runner has listed one run
    When a start is refused 6 seconds after the process has started
    Then the run is reported as rejected only after a later listing without it
    When a start is refused 0.6 seconds later
    Then the run is reported as rejected at once

  Scenario: Claims that the runner does not answer do not keep its lease from being renewed
    # Guards against runs that lapse on a slow runner, as foreign heartbeats make its target process
    # ask it again and again.
    Given a target process whose runner has listed one run
    When 8 heartbeats of other ids arrive that the runner answers with errors
    And the target process asks its runner
    Then the lease of its runs was renewed after one such answer
    When the target process asks its runner 7 times more
    Then it still reports the runner's life with its run

  Scenario Outline: A life that may have followed another one is acknowledged no ends: <failure>
    # Guards against tasks that are started again after they have ended: the first call to a life that
    # had followed under the same id acknowledged as many ends as the former one had, unread.
    Given a target process whose runner has had its first end acknowledged
    When the listing call gets <failure>, as its runner starts again under its id and ends another run
    And the target process asks its runner
    Then it reports the end of that run
    When the owner has stored the first end
    And the target process asks its runner
    Then its runner has no ends left

    Examples:
      | failure              |
      | no answer            |
      | a refused connection |
      | an error             |

  Scenario: A call that acknowledges ends does not wait for others
    # Guards against ends that nobody has read: such a call was held up by a cut and reached the next
    # life under the id, which forgot the ends that came while the call waited.
    Given a target process whose runner has listed one run
    When its run ends and the owner has stored the end
    And the target process asks its runner
    Then the call acknowledged 1 end without waiting
    When the target process asks its runner
    Then the call waited for ends, and acknowledged none

  Scenario: Ends are acknowledged after an answer that was lost, and once only
    # Guards against a runner that lists its ends for ever, and against acknowledging again, to
    # whatever life then answers, what the present one has forgotten long ago.
    Given a target process whose runner has had its first end acknowledged
    When the target process asks its runner
    Then the call acknowledged no end
    When another run ends, and the answer to the listing call is lost
    And the target process asks its runner
    Then it reports the end of that run
    When the owner has stored 2 ends
    And the target process asks its runner
    Then its runner has no ends left
