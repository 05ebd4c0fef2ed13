Feature: Decisions of the target process

  Scenario: A commit without a reservation is answered with whether the part may have started
    # Guards against a job that is reported as "may have run" although its part never started,
    # because the reservation expired before the commit arrived.
    When these events reach a target whose lease lasts until 1000 s
      | at | event     | actions                       |
      | 1  | reserve a | reserved                      |
      | 12 | tick      | report stopped, never started |
      | 13 | commit a  | report stopped, never started |
      | 14 | forget a  |                               |
      | 15 | commit a  | absent, never started         |
      | 16 | commit b  | absent, may have started      |
      | 17 | reserve b | old_token                     |

  Scenario: An expired reservation frees its accelerators and is not confirmed again
    # Guards against a gang that is committed on accelerators which meanwhile went to another job.
    When these events reach a target whose lease lasts until 1000 s
      | at | event             | actions                       |
      | 1  | reserve a mask=15 | reserved                      |
      | 1  | reserve b mask=3  | occupied                      |
      | 2  | reserve a mask=15 | reserved                      |
      | 12 | tick              | report stopped, never started |
      | 12 | reserve a mask=15 | old_token                     |
      | 12 | reserve c mask=3  | reserved                      |
      | 13 | reserve d mask=512 | never_fits                   |

  Scenario: A new owner reuses the number of an attempt that was not recorded
    # Guards against the previous owner's commit, or its placement, taking effect for the new
    # owner's attempt of the same number.
    When these events reach a target whose lease lasts until 1000 s
      | at | event                     | actions   |
      | 1  | reserve a mask=1          | reserved  |
      | 2  | welcome epoch=2           |           |
      | 3  | commit a epoch=1          |           |
      | 3  | reserve a mask=1          | old_epoch |
      | 3  | reserve a epoch=2 mask=2  | reserved  |
      | 4  | commit a epoch=2          | start 2   |
      | 5  | commit a epoch=2          |           |
      | 6  | welcome epoch=3           |           |
      | 6  | reserve a epoch=3 mask=4  | old_token |

  Scenario: After a pause past the lease the parts stop before a queued message acts
    # Guards against parts that keep running, or start, after a pause of the target process in which
    # the lease expired and the owner started the job on another target.
    When these events reach a target whose lease lasts until 6 s
      | at | event            | actions                                                        |
      | 1  | reserve a mask=1 | reserved                                                       |
      | 1  | commit a         | start 1                                                        |
      | 2  | reserve b mask=2 | reserved                                                       |
      | 20 | commit b         | stop; report stopped, never started; report stopped, never started |
      | 20 | welcome echo=5   |                                                                |
      | 20 | reserve c mask=4 | lease_lapsed                                                   |
      | 23 | tick             | stop; report stopped, never started                                |
      | 23 | end a stopped    | report stopped                                                 |

  Scenario: A leaving target finishes its attempts and accepts no new ones
    # Guards against new work on a target that leaves, and against an older configuration that takes
    # effect again because its welcome arrives late.
    When these events reach a target whose lease lasts until 1000 s
      | at | event                        | actions                       |
      | 1  | reserve a mask=1             | reserved                      |
      | 1  | commit a                     | start 1                       |
      | 2  | reserve b mask=2             | reserved                      |
      | 2  | reserve c mask=4             | reserved                      |
      | 3  | welcome version=5 draining=1 |                               |
      | 4  | commit b                     | start 2                       |
      | 6  | commit c                     | report stopped, never started |
      | 7  | welcome version=4            |                               |
      | 7  | reserve d mask=8             | draining                      |
      | 8  | welcome version=6            |                               |
      | 8  | reserve e mask=8             | stale_version                 |
      | 9  | end a finished               | report finished               |

  Scenario: A stop is repeated until the part ends, and does not replace a result
    # Guards against a part that keeps running because one stop was lost, and against the loss of a
    # result because the part finished just before its stop.
    When these events reach a target whose lease lasts until 1000 s
      | at | event             | actions                       |
      | 1  | reserve a mask=1  | reserved                      |
      | 1  | reserve b mask=2  | reserved                      |
      | 2  | stop b            | report stopped, never started |
      | 2  | commit a          | start 1                       |
      | 3  | stop a checkpoint=1 | checkpoint                  |
      | 4  | stop a            | stop                          |
      | 7  | tick              | stop; report stopped, never started |
      | 8  | end a finished    | report finished               |
      | 9  | stop a            | report finished               |
      | 9  | end a stopped     |                               |
      | 10 | forget a          |                               |
      | 11 | stop a            | absent, may have started      |

  Scenario: A result that is not recorded is reported again with growing delays
    # Guards against an owner that counts accelerators and a guarantee as used for many seconds
    # after the part finished, because two reports were lost.
    When these events reach a target whose lease lasts until 1000 s
      | at   | event          | actions         |
      | 1    | reserve a      | reserved        |
      | 1    | commit a       | start 1         |
      | 2    | end a finished | report finished |
      | 2.9  | tick           |                 |
      | 3.1  | tick           | report finished |
      | 5.0  | tick           |                 |
      | 5.2  | tick           | report finished |
      | 9.3  | tick           | report finished |
      | 14.2 | tick           |                 |
      | 14.4 | tick           | report finished |
      | 15   | forget a       |                 |
      | 30   | tick           |                 |

  Scenario: A new owner gets the results that are not recorded at once
    # Guards against a finished job that has to wait for the next repeated report after a takeover.
    When these events reach a target whose lease lasts until 1000 s
      | at | event            | actions         |
      | 1  | reserve a        | reserved        |
      | 1  | commit a         | start 1         |
      | 2  | end a finished   | report finished |
      | 3  | welcome epoch=2  |                 |
      | 3  | owner            | report finished |
      | 4  | forget a epoch=2 |                 |
      | 5  | owner            |                 |

  Scenario: Shutdown checkpoints preemptible parts and lets the others finish
    # Guards against parts that lose their progress because the process exits before they have
    # written a checkpoint or finished.
    When these events reach a target whose lease lasts until 1000 s
      | at | event                      | actions    |
      | 1  | reserve a mask=1           | reserved   |
      | 1  | reserve b mask=2 fixed=1   | reserved   |
      | 1  | commit a                   | start 1    |
      | 1  | commit b                   | start 2    |
      | 2  | begin_stop grace=20        |            |
      | 3  | reserve c mask=4           | draining   |
      | 13 | tick                       | checkpoint |

  Scenario: Requests beyond the free slots wait until their deadline
    # Guards against a request that runs after it was refused or its start was disproved, and
    # against a request that waits for ever.
    When these events reach a target whose lease lasts until 1000 s
      | at | event                        | actions                     |
      | 1  | welcome slots=1 connections=3 |                            |
      | 1  | request r1                   | run r1                      |
      | 1  | request r2                   |                             |
      | 1  | request r3 timeout=50        |                             |
      | 1  | request r4                   | r4 occupied                 |
      | 2  | request r1                   |                             |
      | 2  | disprove r1                  | not disproved               |
      | 12 | tick                         | r2 deadline_passed          |
      | 12 | request r2                   | r2 deadline_passed          |
      | 13 | done r1                      | r1 answered; run r3         |
      | 14 | request r1                   | r1 answered                 |
      | 15 | request r5                   |                             |
      | 15 | disprove r5                  | disproved                   |
      | 15 | request r5                   | r5 old_token                |
      | 16 | done r3                      | r3 answered                 |
      | 17 | disprove r6                  | disproved                   |
      | 17 | request r6                   | r6 old_token                |

  Scenario: Memory stays bounded
    # Guards against a process that exceeds its limit of 256 MB when many reservations are refused
    # or many results are not recorded.
    When 25000 reservations are refused and 1100 results of 64 KiB are not recorded
    Then tombstones and held results stay within their limits

  Scenario: No order of messages starts a part twice or after it was reported as not run
    # Guards against a second start, a start after the owner was told that the part did not run, and
    # two parts on one accelerator, when messages are repeated, late or reordered.
    Then random repeated, late and reordered messages start nothing twice or after a refusal
