Feature: Work is placed by its expected end

  Scenario Outline: An urgent gang waits for a run that is about to leave its rack
    # Guards against an urgent gang that is spread over racks at once, as its guarantee allows, takes
    # 3 times as long and is late, although a rack was free within a second.
    Given 2 racks of 5 targets, each with a run of a guarantee that ends in 1 second, <feature>
    When an urgent gang of 5 whole targets is submitted that asks for one rack
    Then it runs in <racks> rack(s) and ends <end>

    Examples:
      | feature             | racks | end     |
      | with the feature    | 1     | in time |
      | without the feature | 2     | late    |

  Scenario: An urgent gang is spread if its guarantee demands a start now
    # Guards against a guarantee that is broken for the sake of an earlier end.
    Given 2 racks of 5 targets, each with a run of a guarantee that ends in 6 seconds
    When an urgent gang of 5 whole targets is submitted that asks for one rack
    Then it starts within 2.7 seconds of its acceptance, in 2 racks

  Scenario: An urgent gang stops less urgent work in one rack rather than spread over free targets
    # Guards against an urgent gang that takes 3 times as long to spare a run without urgency.
    Given 2 racks of 5 targets, each with a less urgent run that ends in 12 seconds
    When an urgent gang of 5 whole targets is submitted that asks for one rack
    Then it runs in 1 rack(s) and ends in time

  Scenario: A gang waits for its rack if it ends sooner than on several racks
    # Guards against a gang that takes 3 times as long because its rack is free a little later.
    Given 2 racks of 5 targets, each with a less urgent run that ends in 12 seconds
    When a gang of the same priority and of 20 seconds is submitted that asks for one rack
    Then it runs in 1 rack(s) once that run has ended

  Scenario: A gang is spread if it ends sooner than by waiting for its rack
    # Guards against a gang that waits for minutes beside free targets.
    Given 2 racks of 5 targets, each with a less urgent run that ends in 200 seconds
    When a gang of the same priority and of 20 seconds is submitted that asks for one rack
    Then it starts within 2.7 seconds of its acceptance, in 2 racks

  Scenario: Work waits for the rack of its data if it ends sooner there
    # Guards against a task that takes 3 times as long because its rack is free a little later.
    Given 2 racks of 5 targets, of which the first is full for 5 seconds
    When a task of 20 seconds with data in the first rack is submitted
    Then the task runs in the first rack

  Scenario: Work leaves the rack of its data if it ends sooner elsewhere
    # Guards against a task that waits for minutes beside free targets.
    Given 2 racks of 5 targets, of which the first is full for 200 seconds
    When a task of 20 seconds with data in the first rack is submitted
    Then the task runs in the second rack

  Scenario: Work waits for a usual target if it ends sooner than on a very slow one
    # Guards against a task that takes 5 times as long because a usual target is free a little later.
    Given a rack whose usual targets are busy for 5 seconds and one that is 5 times slower is free
    When a task of 20 seconds is submitted
    Then the task runs on a usual target

  Scenario: Work that may not stop others goes on a slow target rather than wait for minutes
    # Guards against a task that waits beside a free target because stopping others costs too much.
    Given a rack whose usual targets hold the least urgent work for 200 seconds and one that is slow
    When a task of 20 seconds is submitted
    Then the task runs on the slow target, and nothing was stopped

  Scenario: A gang is expected to release its targets as a whole
    # Guards against work that waits for a member at 100 percent whose gang goes on for long.
    Given a gang of 2 tasks, one of which has done its work while the other needs 30 seconds
    Then both targets are expected to be busy for more than 20 seconds

  Scenario: Urgent work goes where it ends in time
    # Guards against urgent work on a target that best fit prefers and that is too slow for it.
    Given 10 targets in 2 racks, of which all but one are 5 times slower
    When an urgent task of 5 seconds is submitted
    Then the task runs on a usual target

  Scenario: Work with high slack goes on the slow targets
    # Guards against fast targets that are taken by work that can wait.
    Given 10 targets in 2 racks, of which the last 2 have the speed 0.8
    When 2 tasks of 20 seconds with high slack are submitted
    Then they run on the targets of speed 0.8

  Scenario: The members of a gang go on equal targets
    # Guards against fast targets that wait for the slow member of a gang.
    Given 10 targets in one rack of the speeds 0.8 and 1.25 in turn
    When an urgent gang of 5 whole targets is submitted that asks for one rack
    Then all its members run on targets of speed 1.25

  Scenario: Small tasks leave a whole rack to gangs
    # Guards against small tasks in each rack, so that no gang of a whole rack can start.
    Given 3 racks of 5 targets, of which the last is partly full
    When 3 tasks of 8 accelerators with no rack are submitted one after the other
    Then two whole racks are still free
    And the gauge shows a gang of 5 targets of 8 accelerators, and of 40 of 1

  Scenario: A burst of urgent gangs on a fleet of unequal targets with fragmented racks
    # Guards against urgent gangs that are placed at once and end late: spread over racks, or with a
    # slow member. Small urgent tasks arrive beside them and break up racks.
    Given 30 targets of the speeds 0.8, 1 and 1.25 in racks of 5, fragmented by less urgent work
    When 14 urgent gangs arrive within 21 seconds, with the feature and without
    Then at most half as many gangs are late with the feature, and each gang starts in time

  Scenario: A burst of urgent tasks while a sixth of the targets is 5 times slower
    # Guards against urgent work on targets that have turned slow.
    Given 30 equal targets in racks of 5, half full of small tasks, of which 5 turn 5 times slower
    When 30 urgent tasks arrive within 15 seconds, with the feature and without
    Then at most half as many tasks are late with the feature, and each task starts in time
