Feature: Nothing starts in an evacuated availability zone, and work goes on elsewhere

  # The operators' topic

  Scenario: A record evacuates its zone until it is removed
    # Guards against an evacuation that is not noticed, or that outlasts its removal.
    Given an entry that follows the operators' topic
    When the records "evacuate/a, evacuate/b" are written and read
    Then the zones "a, b" are evacuated
    When the record "evacuate/a" is removed and the topic is read
    Then the zones "b" are evacuated
    And the zones "b" were announced last

  Scenario: An evacuation that is written twice ends with one removal
    # Guards against counting the records of a zone, which may be evacuated several times.
    Given an entry that follows the operators' topic
    When the records "evacuate/a, evacuate/a" are written and read
    And the record "evacuate/a" is removed and the topic is read
    Then the zones "" are evacuated

  Scenario: An older record that is read again changes nothing
    # Guards against a zone that is evacuated again because an old record arrives twice.
    Given an entry that follows the operators' topic
    When the records "evacuate/a" are written and read
    And the record "evacuate/a" is removed and the topic is read
    And the store repeats its first record
    Then the zones "" are evacuated

  Scenario: A record that was written during an outage is read once the store is back
    # Guards against an evacuation that is missed because the store was down when it was written.
    Given an entry that follows the operators' topic
    And the store does not answer
    When the records "evacuate/a" are written and read
    Then the zones "" are evacuated and reads are failing
    When the store answers again
    Then the zones "a" are evacuated and reads are not failing

  Scenario: A record that was removed during an outage ends its evacuation afterwards
    # Guards against a zone that stays out of service because its removal was missed.
    Given an entry that follows the operators' topic
    And the records "evacuate/a" are written and read
    And the store does not answer
    When the record "evacuate/a" is removed and the topic is read
    Then the zones "a" are evacuated and reads are failing
    When the store answers again
    Then the zones "" are evacuated and reads are not failing

  Scenario: An evacuation whose records the store has lost is over
    # Guards against a zone that stays evacuated for ever, as the store no longer has its removal.
    Given an entry that follows the operators' topic
    And the records "evacuate/a, evacuate/b" are written and read
    When the store loses the records "evacuate/a" and its history
    Then the zones "b" are evacuated

  Scenario: An outdated answer after a loss of history ends no evacuation
    # Guards against starts in an evacuated zone, because a store that lags behind does not have the
    # zone's record yet.
    Given an entry that follows the operators' topic
    And the records "evacuate/a" are written and read
    When the store hides its newest 1 records after losing its history
    Then the zones "a" are evacuated and reads are failing
    And "operator_reads_outdated" was counted

  Scenario: An answer that another one has overtaken does not count as outdated
    # Guards against a longer limit for old knowledge, which a failed read permits, when a long poll
    # ends after a newer short read.
    Given an entry that follows the operators' topic
    When an answer that was requested first arrives after a newer one
    Then the zones "a" are evacuated and reads are not failing

  Scenario: A record that cannot be decoded evacuates its zone and nothing else
    # Guards against a damaged record that hides the order to evacuate, is logged at each read, or
    # keeps other records from being applied.
    Given an entry that follows the operators' topic
    When damaged records of zone "a" and of no zone, and a configuration, are read twice
    Then the zones "a" are evacuated
    And 2 malformed records were counted, and the configuration is in force

  Scenario: An older configuration does not replace a newer one
    # Guards against a change of the configuration that is undone when its record is written again.
    Given an entry that follows the operators' topic
    When configurations of versions 5 and 4 are written and read
    Then the configuration of version 5 is in force

  Scenario: A slow store is read without long polls
    # Guards against knowledge that is older than the bound permits, because a slow long poll takes
    # longer than the limit.
    Given an entry that follows the operators' topic
    And reads take 600 ms
    When the topic is polled 4 times
    Then only the first read waited
    When reads take 5 ms, and the topic is polled 2 times
    Then the last read waited

  Scenario: The age of the knowledge counts from the end of a long poll without records
    # Guards against a pause of all starts once a second, as two long polls take 2 s.
    Given an entry that follows the operators' topic
    And reads take 5 ms
    When the topic is polled 4 times
    Then the knowledge was never older than 1100 ms

  # The owner

  Scenario: An evacuated zone gets no starts, and its runs continue
    # Guards against starts in an evacuated zone, and against work that is lost by moving runs.
    Given an owner of 4 targets in 2 zones, each running a job of 4 accelerators
    When zone "z1" is evacuated and 4 jobs of 4 accelerators are accepted
    Then 2 of them run, all in zone "z0", and no run was stopped

  Scenario: All zones are evacuated at once
    # Guards against jobs that are refused or fail because no target is left, and against jobs that
    # do not start once a zone is back.
    Given an owner of 4 targets in 2 zones
    When zones "z0, z1" are evacuated and a job is accepted
    Then the job waits because of the evacuation for 60 s, which is logged and counted once
    When zone "z1" is returned to service
    Then the job runs in zone "z1"

  Scenario: Work that prefers the evacuated rack is placed elsewhere
    # Guards against gangs and data-local work that wait for racks in an evacuated zone.
    Given an owner of 4 targets in 2 zones
    When zone "z0" is evacuated and a gang and a job with data in rack "r0" are accepted
    Then both run in zone "z1"

  Scenario: A gang that fits only with the evacuated zone waits and reserves nothing
    # Guards against capacity that stays idle for as long as the evacuation lasts, reserved for work
    # that cannot start.
    Given an owner of 4 targets in 2 zones
    When zone "z0" is evacuated and a gang of 3 tasks of 8 accelerators is accepted
    And 2 jobs of 8 accelerators are accepted after it
    Then the gang waits because of the evacuation, and both jobs run in zone "z1"

  Scenario: The evacuated zone does not count as capacity for guarantees
    # Guards against lending out the last free accelerators, because those of an evacuated zone seem
    # to be enough for what guarantees will claim.
    Given an owner of 4 targets in 2 zones
    And urgent work of 16 accelerators has just ended
    When zone "z0" is evacuated and a least urgent job of 8 accelerators is accepted
    Then that job waits, as guarantees may claim the room

  Scenario: Urgent work within its guarantee preempts only outside the evacuated zone
    # Guards against victims in an evacuated zone, whose room may not be used.
    Given an owner of 4 targets in 2 zones, each running a job of 8 accelerators
    When zone "z0" is evacuated and an urgent job of 8 accelerators is accepted
    Then it runs in zone "z1" within 2.7 s, and the runs in zone "z0" continue

  Scenario: Nothing is placed while the operators' topic has not been read
    # Guards against starts in a zone that was evacuated after the owner's last read.
    Given an owner of 4 targets in 2 zones
    When the topic is not read for 2 s and a job is accepted
    Then the job does not run, and that placement is held is logged and counted once
    When the topic is read again
    Then the job runs

  Scenario: Failing reads extend the limit, but not for ever
    # Guards against a pause of all starts at each lost answer of the store, and against starts that
    # come later than the extended bound permits.
    Given an owner of 4 targets in 2 zones
    When reads of the topic fail for 6 s and a job is accepted
    Then the job runs
    When reads of the topic fail for 8 s and a job is accepted
    Then the job does not run, and that placement is held is logged and counted once

  Scenario: The limits leave time for a start that is on its way
    # Guards against longer timeouts of orders or of calls to runners that make starts come later
    # than the bound, or later than a disturbance of the store extends it.
    Then the limit and the time that a start may take are at most 5 s, and 11 s while reads fail

  Scenario: Without evacuations in the deployment, starts do not depend on the topic
    # Guards against a pause of starts in deployments that have no evacuations, also where the store
    # serves the owner an old copy.
    Given an owner of 4 targets in 2 zones, in a deployment without evacuations
    And each target reports that it knows newer records
    When the topic is not read for 60 s and a job is accepted
    Then the job runs

  Scenario: An owner that knows less than a target process places nothing there
    # Guards against starts in a zone whose evacuation only the previous owner has read.
    Given an owner of 4 targets in 2 zones
    When the targets of zone "z1" report that they know newer records, and 4 jobs are accepted
    Then 2 of the jobs run, all in zone "z0"
    When the owner has read these records
    Then 2 of the jobs run in zone "z1"

  Scenario: A start that was placed before the evacuation is refused and placed elsewhere
    # Guards against a start that is delivered after the evacuation, and against a unit that waits
    # for a target that refuses it.
    Given an owner of 4 targets in 2 zones
    When a gang is placed, and its zone is evacuated before the orders are delivered
    Then it runs as a whole in the other zone, as run 2, and never ran in its first zone

  Scenario: A target process of an older version gets a stop instead of the start
    # Guards against starts by target processes that do not know of evacuations.
    Given an owner of 4 targets in 2 zones
    When a job is placed on a target process of an older version, whose zone is evacuated then
    Then that target is ordered to stop the run and not to start it

  Scenario: A zone that no target has announced is logged once
    # Guards against a misspelt zone that nobody notices, and against one that affects others.
    Given an owner of 4 targets in 2 zones
    When zone "z9" is evacuated for 30 s and a job is accepted
    Then the job runs, and the unknown zone is logged and counted once

  Scenario: A target that is slow after an evacuation is logged once
    # Guards against a heartbeat whose time of slowness does not reach the owner.
    Given an owner of 4 targets in 2 zones
    When a target reports for 2 s that it will be slow
    Then that it is slow is logged and counted once

  Scenario: A third of the capacity is evacuated during a burst
    # Guards against starts in the evacuated zone under load, urgent work that misses its guarantee,
    # and jobs that are lost or never started.
    Given an owner of 12 targets in 6 zones, under a burst of 60 jobs
    When zones "z1, z4" are evacuated in the burst, and urgent jobs are accepted
    Then nothing starts there, and each urgent job runs within 2.7 s
    And all jobs are done 120 s after the zones are back, without one that failed

  # A new owner

  Scenario: A new owner reads the operators' topic before it plans
    # Guards against starts by an owner whose predecessor has read an evacuation and died before it
    # announced it.
    Given an entry that has not read the newest record, which evacuates the zone of a target
    When the entry is elected and the target reports
    Then no start is ordered there, and its orders name the zone

  Scenario: A new owner that cannot read the topic places nothing until it can
    # Guards against starts on the knowledge of an entry that was cut off from the topic.
    Given an entry that has not read the newest record, which evacuates the zone of a target
    And the operators' topic does not answer
    When the entry is elected and the target reports
    Then no start is ordered there
    When the operators' topic answers again and the zone is returned to service
    Then the start is ordered

  Scenario: A start that was stored is not sent once the knowledge is too old
    # Guards against a start that is repeated for as long as the owner cannot read the topic.
    Given an elected entry that has placed a job
    When the topic is not read for 2 s more
    Then the orders no longer hold the start, which is counted
    When the operators' topic has been read
    Then the orders hold the start again, without a report

  Scenario: A change of the evacuated zones is sent without waiting for reports
    # Guards against starts that target processes carry out up to a second after their owner has
    # read the evacuation.
    Given an elected entry that has placed a job
    When the records "evacuate/z" are written and read
    Then the entry sends orders that name zone "z" as soon as it is told

  Scenario: The gauge shows the number of evacuated zones
    # Guards against a gauge that keeps an old value, or shows none on an entry that is not owner.
    Given an entry that follows the operators' topic and does not own the schedule
    When the records "evacuate/a, evacuate/b" are written and read
    Then the gauge "evacuated_zones" is 2
    When the record "evacuate/a" is removed and the topic is read
    Then the gauge "evacuated_zones" is 1

  Scenario: A report of newer records makes the entry read them at once
    # Guards against an owner that waits for a long poll on a store that lags behind.
    Given an elected entry that has placed a job
    When a target reports newer records than the entry knows
    Then the next read does not wait, and the fact is counted once

  # The target process

  Scenario: A target process refuses starts while its zone is evacuated
    # Guards against a start that an owner orders before it learns of the evacuation.
    Given a target process that was told of the evacuation of its zone at offset 5
    When an owner orders a start, with evacuations "z" at offset 6
    Then nothing is started, and the run is rejected after a listing without it
    When an owner orders a start, with evacuations "" at offset 7
    Then the run is started

  Scenario: A run that is under way in an evacuated zone is left alone
    # Guards against work that is thrown away because the owner repeats the order of a run that has
    # just begun.
    Given a target process whose run has begun
    When the order is repeated, with evacuations "z" at offset 5
    Then the run is neither stopped nor rejected

  Scenario: An owner that is behind does not end an evacuation
    # Guards against starts that a new owner orders before it has read what the previous one knew.
    Given a target process that was told of the evacuation of its zone at offset 5
    When an owner orders a start, with evacuations "" at offset 4
    Then nothing is started, and the run is rejected after a listing without it
    And reports state offset 5

  Scenario: An old owner that knows more is believed about evacuations only
    # Guards against a set of zones that is ignored because a newer owner has read less.
    Given a target process that has orders of a newer owner
    When an older owner orders a start, with evacuations "z" at offset 9
    Then nothing is started, and reports state offset 9

  Scenario: A start that waits for a thread is withheld
    # Guards against a start that was ordered before the evacuation and is sent after it.
    Given a target process whose threads are all busy with slow stops
    When a start is ordered, and then the evacuation of its zone arrives
    Then the runner gets no start once its threads are free, which is counted

  Scenario: A target process that starts again refuses starts from its first orders on
    # Guards against a start that is carried out between the restart and the news of the evacuation.
    Given a target process that has just started
    When an owner orders a start, with evacuations "z" at offset 6
    Then nothing is started, and the run is rejected after a listing without it

  Scenario: The next target of a VM is in the same evacuated zone
    # Guards against an evacuation that is forgotten when another runner follows on the VM.
    Given a target process that was told of the evacuation of its zone at offset 5
    When another target follows on its VM, and is ordered a start by an owner that is behind
    Then nothing is started

  Scenario: Messages of older and newer processes decode
    # Guards against an update during which owner and target processes cannot talk.
    Then orders and reports without the fields of evacuations decode, and state no offset
    And orders and reports with them decode by the older definitions

  # The deployment

  Scenario: A deployment starts nothing while its zone is evacuated
    # Guards against a fault on the path from the store over entries to target processes that tests
    # of single modules miss.
    Given a deployment of two entries and three target processes, whose zones may be evacuated
    And its operators evacuate the zone of all targets, and each entry has read it
    When a job of 5 tasks is submitted at one entry
    Then no task starts within 2 s
    When its operators return the zone to service
    Then it is completed at the other entry, each task having started once
