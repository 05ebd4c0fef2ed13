Feature: The owner learns the speeds of machines and places work by its expected end

  Scenario: The speeds of machines are learned from runs of the same step
    # Guards against a fleet of unequal machines on which every expected end is wrong by a quarter,
    # although the tasks of each step differ by a quarter too.
    Given 12 targets of the speeds 0.8, 1 and 1.25
    When 6 jobs of 48 small tasks that differ by a quarter run for 60 seconds
    Then the machines of speed 0.8 are taken for slower than those of speed 1.25
    And the speed of each machine is known to within a third

  Scenario: The speeds of all machines do not drift together
    # Guards against a fleet that seems to become slower for hours, as machines are compared with
    # each other.
    Given 12 targets of the speeds 0.8, 1 and 1.25
    When 12 jobs of 48 small tasks that differ by a quarter run for 90 seconds
    Then the mean speed of the machines is still within a sixth of 1

  Scenario: A machine that turns slow is noticed from the progress of its runs
    # Guards against a runner that turns 5 times slower and is given work as before.
    Given 6 targets of speed 1 with small tasks of 22 seconds
    When one machine turns 5 times slower and 3 seconds pass
    Then that machine is taken for less than half as fast, and the others for usual
    And the log names it once

  Scenario: A machine that turns slow under a single gang member is noticed, the others are not blamed
    # Guards against a member that delays its gang for ever, and against blame for all its members.
    # The other members have to be listed after the turn, which takes one listing more.
    Given 6 targets of speed 1 with a gang of 5 tasks
    When one machine turns 5 times slower and 4 seconds pass
    Then that machine is taken for less than half as fast, and the others for usual

  Scenario: A gang whose members keep pace with the slowest one blames no machine
    # Guards against five slow machines in the books for one that is slow.
    Given 12 targets of speed 1 with a gang of 5 tasks that all keep the pace of the slowest one
    When one machine turns 5 times slower and 6 seconds pass
    Then no machine is taken for slow

  Scenario: One odd task does not make its machine slow
    # Guards against a healthy machine without work because of a task that runs 7 times as long.
    Given 6 targets of speed 1
    When tasks of 10 seconds run on all of them, one of which takes 70 seconds
    Then no machine is taken for slow

  Scenario: A run that hangs does not make its machine slow
    # Guards against mixing up a hanging task, which is stopped, and a slow machine.
    Given 6 targets of speed 1 with one large task of 22 seconds on each
    When one run makes no more progress for 6 seconds
    Then no machine is taken for slow

  Scenario: A machine that has recovered while it works is noticed from the progress of its runs
    # Guards against a machine that is slow for a few seconds and avoided for the rest of the day.
    Given 6 targets of speed 1 with small tasks of 22 seconds
    When one machine turns 5 times slower for 12 seconds and then recovers
    Then no machine is taken for slow within 8 seconds

  Scenario: A machine that has recovered between two runs is noticed by the next two
    # Guards against a healthy machine that its earlier runs outvote for minutes.
    Given a machine that 6 runs have shown to be 5 times slower
    When two more runs show that it is as fast as usual
    Then it is taken for at least 0.75 times as fast as usual

  Scenario: A gang whose members keep pace with the slowest one does not clear a slow machine
    # Guards against a slow machine that counts as usual because its gang is as slow.
    Given 6 targets, one of which was last seen 5 times slower
    When a gang of 6 tasks that all keep the pace of the slowest one runs for 20 seconds
    Then the speeds are as before

  Scenario: A machine that was slow and has no work is tried again
    # Guards against a machine that never gets work again, and so never shows that it recovered.
    Given 6 targets, one of which was last seen 5 times slower
    When nothing runs there for 90 seconds
    Then that machine is taken for at least 0.75 times as fast as usual

  Scenario: A runner that starts again on the same VM keeps its speed
    # Guards against a slow VM that is trusted anew with each target that starts on it.
    Given 6 targets of speed 1 with small tasks of 22 seconds
    When one machine turns 5 times slower and 3 seconds pass
    And its runner starts again as another target
    Then that machine is taken for less than half as fast, and the others for usual

  Scenario: The next owner goes on with the learned speeds
    # Guards against a new owner that places urgent work on the slow targets.
    Given 6 targets of speed 1 with small tasks of 22 seconds
    When one machine turns 5 times slower and 3 seconds pass
    And the owner dies and another one reads what it has learned
    Then that machine is taken for less than half as fast, and the others for usual
    And the runs there are expected to take as long as they do there

  Scenario: The next owner works with nothing learned
    # Guards against a takeover that waits for a store that does not respond.
    Given 6 targets of speed 1 with small tasks of 22 seconds
    When one machine turns 5 times slower and 3 seconds pass
    And the owner dies and another one finds nothing
    Then no machine is taken for slow
    And the owner notices the slow machine within 25 seconds

  Scenario Outline: A record that cannot be used changes nothing
    # Guards against an owner that fails, or believes nonsense, because of a stored record.
    Given 6 targets, one of which was last seen 5 times slower
    When <record> is read
    Then it is refused as unreadable, and the speeds are as before

    Examples:
      | record                             |
      | a record that is cut off           |
      | a record of another version        |
      | a record of another kind of fields |

  Scenario: Speeds out of all proportion in a record are limited
    # Guards against a machine that a damaged record puts out of service, or makes best for all.
    Given 6 targets of speed 1
    When a record names the speeds 1e-30 and 1e30
    Then the speeds are 0.1 and 2

  Scenario: Newer evidence wins over the record of an owner that has lost its term
    # Guards against an old owner that goes on writing and brings back what no longer holds.
    Given 6 targets, one of which was last seen 5 times slower
    When a record that is 600 seconds old calls that machine fast
    Then that machine is taken for less than half as fast, and the others for usual

  Scenario: Run times learned on slow machines count as those of a usual machine
    # Guards against a duration model that takes the tasks for longer because of where they ran.
    Given 6 targets, one of which was last seen 5 times slower
    When a task of 10 seconds runs on the slow machine
    Then its job expects a task to take 10 seconds, and its run expects 50 seconds

  Scenario: Run times of a gang across racks count as those of a gang in one rack
    # Guards against a duration model that takes each gang for 3 times as long after one spread.
    Given 4 targets in two racks
    When a gang of 4 tasks of 6 seconds that asks for one rack runs across two
    Then its job expects a task to take 6 seconds, and its run expects 18 seconds

  Scenario: A run that was adopted has its slowdown once its target reports
    # Guards against a new owner that takes each run off its rack for 3 times longer work.
    Given 4 targets in two racks
    When a gang of 4 tasks of 6 seconds that asks for one rack runs across two
    And the owner dies before a target of the gang has reported again
    Then the run expects 18 seconds once all targets have reported

  Scenario: A run that is loaded after its target has reported has its slowdown
    # Guards against a job whose record is read late, and whose runs count as near their data.
    Given 4 targets in two racks
    When a gang of 4 tasks of 6 seconds that asks for one rack runs across two
    And the owner dies and the next one reads the job after the reports
    Then the run expects 18 seconds at once

  Scenario: A gang takes as long as its slowest member
    # Guards against a duration model that learns the time of a gang from its fastest member.
    Given 2 targets that are known to have the speeds 0.8 and 1.25
    When a gang of 2 tasks of 10 seconds runs on both for 9 seconds
    Then its job expects a task to take 10 seconds, and its run expects 12.5 seconds

  Scenario: Without the feature every slowdown is 1
    # Guards against a change of deployments that do not use the feature.
    Given 4 targets in two racks, without the feature
    When a gang of 4 tasks of 6 seconds that asks for one rack runs across two
    Then every slowdown is 1, and nothing is learned
