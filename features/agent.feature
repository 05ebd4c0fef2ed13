Feature: Decisions of the target process

  Scenario: A commit without a reservation is answered with what is certain
    # Guards against a job that is called "may have run" although its part never started.
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
    # Guards against a gang that is committed on accelerators which another job was given.
    When these events reach a target whose lease lasts until 1000 s
      | at | event             | actions                       |
      | 1  | reserve a mask=15 | reserved                      |
      | 1  | reserve b mask=3  | occupied                      |
      | 2  | reserve a mask=15 | reserved                      |
      | 12 | tick              | report stopped, never started |
      | 12 | reserve a mask=15 | old_token                     |
      | 12 | reserve c mask=3  | reserved                      |
      | 13 | reserve d mask=512 | never_fits                   |

  Scenario: A new owner uses the number of an unrecorded attempt again
    # Guards against a commit that starts the previous owner's placement.
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
    # Guards against work that goes on, or starts, while its owner has given it to another target.
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

  Scenario: A leaving target finishes what it holds and takes nothing new
    # Guards against new work on a target that leaves, and against a configuration that reverts.
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

  Scenario: Stops are repeated until the part ends and may come too late
    # Guards against a part that goes on because one stop was lost, and against a lost result.
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

  Scenario: A result that is not recorded is repeated soon, then less and less often
    # Guards against an owner that believes for many seconds that accelerators are in use, and
    # counts a guarantee as used, because two messages were lost.
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

  Scenario: A new owner gets the results that are not recorded
    # Guards against a finished job that waits for the next repetition after a takeover.
    When these events reach a target whose lease lasts until 1000 s
      | at | event            | actions         |
      | 1  | reserve a        | reserved        |
      | 1  | commit a         | start 1         |
      | 2  | end a finished   | report finished |
      | 3  | welcome epoch=2  |                 |
      | 3  | owner            | report finished |
      | 4  | forget a epoch=2 |                 |
      | 5  | owner            |                 |

  Scenario: Shutdown checkpoints what can be moved and leaves the rest to end
    # Guards against parts that are cut when the process exits.
    When these events reach a target whose lease lasts until 1000 s
      | at | event                      | actions    |
      | 1  | reserve a mask=1           | reserved   |
      | 1  | reserve b mask=2 fixed=1   | reserved   |
      | 1  | commit a                   | start 1    |
      | 1  | commit b                   | start 2    |
      | 2  | begin_stop grace=20        |            |
      | 3  | reserve c mask=4           | draining   |
      | 13 | tick                       | checkpoint |

  Scenario: Requests above the slots wait until their deadline
    # Guards against a refused request that runs later, and against a request that waits for ever.
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
    # Guards against a process that grows beyond its 256 MB under a flood of refusals or results.
    When 25000 reservations are refused and 1100 results of 64 KiB are not recorded
    Then tombstones and held results stay within their limits

  Scenario: No order of messages breaks a promise
    # Guards against a second start, a start after a proof of "not run", and a shared accelerator.
    Then random repeated, late and reordered messages start nothing twice or after a refusal
