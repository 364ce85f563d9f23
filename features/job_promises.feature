Feature: Job invariants under faults, in virtual time

  Several nodes run with simulated stores, workers and advice services. The checks cover what
  callers and workers observe: capacity, runs, order, attempts, gangs, cancels, replies to
  callers, and that every accepted job reaches a final state.

  Scenario: A run without faults violates no invariant and completes its jobs
    When jobs are played over seeds 1 to 4 without faults
    Then nothing that must hold is broken
    And at least 150 jobs were completed

  Scenario: Schedules of one to four faults violate no invariant
    When jobs are played over seeds 100 to 160 with drawn faults
    Then nothing that must hold is broken

  Scenario Outline: A schedule that once violated an invariant passes: <seed>
    When jobs are played over seeds <seed> to <seed> with drawn faults
    Then nothing that must hold is broken

    Examples: a holder that was cut off replied "no such job" for jobs accepted by another holder
      | seed |
      | 1    |
      | 11   |
      | 71   |
      | 94   |

    Examples: of two submissions of one job, one was accepted and the other was refused
      | seed |
      | 98   |
      | 199  |
      | 459  |
      | 543  |

    Examples: a gang waited forever for workers that were never queried, or never retried
      | seed |
      | 136  |
      | 1079 |
      | 1667 |

    Examples: nodes that followed the previous holder kept sending calls to it
      | seed |
      | 4842 |

    Examples: a refused job lost its cancel and ran when it was submitted again
      | seed |
      | 8038 |

  Scenario Outline: No refused job runs, though calls are sent again: <seed>
    When an overload in which calls are sent again is played with seed <seed>
    Then nothing that must hold is broken
    And jobs were refused, and the audit finds no violation in any simulation
    When the same overload is played without "tracking the copies of submissions"
    Then the simulation has broken "refused_ran"

    Examples: of two copies at one holder, one was refused and the other was accepted
      | seed |
      | 11   |
      | 18   |
      | 30   |

    Examples: as before, and a former holder was sent a copy, too
      | seed |
      | 13   |

  # Like the outline above; its cell refuses 100 jobs, one fewer than that outline asks for.
  Scenario: No refused job runs, though calls are sent again, where fewer are refused
    When an overload in which calls are sent again is played with seed 22
    Then nothing that must hold is broken
    And at least a quarter of the jobs were refused
    When the same overload is played without "tracking the copies of submissions"
    Then the simulation has broken "refused_ran"

  Scenario Outline: A start that arrives after its holder was replaced - <cluster>
    Given <cluster>
    When the workers handle orders 0.8 seconds late
    And a job that needs a whole worker is accepted, and 0.1 seconds pass
    And the workers handle orders without delay
    And the holder is killed
    And another node holds the shard
    And 5 seconds pass in that cell
    Then the cluster has broken <what>

    Examples:
      | cluster                                                         | what       |
      | a cluster with 2 worker(s)                                      | nothing    |
      | a cluster with 2 worker(s), without "fencing tokens at workers" | "two_runs" |

  Scenario Outline: A worker that is cut off keeps running its tasks - <cluster>
    Given <cluster>
    And a job that needs a whole worker is running
    When the holder is cut off from the worker that runs the job
    And 3 seconds pass in that cell
    Then the cluster has broken <what>

    Examples:
      | cluster                                            | what       |
      | a cluster with 2 worker(s)                         | nothing    |
      | a cluster with 2 worker(s), without "lease expiry" | "two_runs" |

  Scenario Outline: A holder is lost before a job's record is in the store - <cluster>
    Given <cluster>
    And its tasks take 0.4 seconds
    When the store stops answering calls
    And the first job is submitted, and 1.5 seconds pass
    And the holder is killed
    And the store answers again in that cell
    And another node holds the shard
    And the first job is submitted, and 2 seconds pass
    Then the cluster has broken <what>

    Examples:
      | cluster                                                                  | what             |
      | a cluster with 2 worker(s)                                               | nothing          |
      | a cluster with 2 worker(s), without "start orders only after the commit" | "run_after_done" |

  Scenario Outline: A holder is lost before the end of a run is in the store - <cluster>
    Given <cluster>
    And its tasks take 2 seconds
    And a job that needs a whole worker is running
    When the store stops answering calls
    And 2.5 seconds pass in that cell
    And the holder is killed
    And the store answers again in that cell
    And another node holds the shard
    And 4 seconds pass in that cell
    Then the cluster has broken <what>

    Examples:
      | cluster                                                                        | what             |
      | a cluster with 2 worker(s)                                                     | nothing          |
      | a cluster with 2 worker(s), without "acknowledging ends only after the commit" | "run_after_done" |

  Scenario Outline: A paused holder resumes and is asked for its successor's job - <cluster>
    Given <cluster>
    When the holder is paused
    And another node holds the shard
    And a job that needs a whole worker is accepted
    And the previous holder resumes and is asked for the job
    Then the cluster has broken <what>

    Examples:
      | cluster                                                                      | what               |
      | a cluster with 2 worker(s)                                                   | nothing            |
      | a cluster with 2 worker(s), without "proof of ownership before unknown jobs" | "accepted_unknown" |

  Scenario Outline: A cancelled run outlives its holder - <cluster>
    Given <cluster>
    And its workers take 0.6 seconds to stop a run
    And a job that needs a whole worker is running
    When the holder is cut off from the workers
    And the job is cancelled
    And the holder is killed
    And another node holds the shard
    And a second such job is submitted
    Then the cluster has broken <what>
    And the second job eventually starts

    Examples:
      | cluster                                                       | what            |
      | a cluster with 1 worker(s)                                    | nothing         |
      | a cluster with 1 worker(s), without "capacity of orphan runs" | "over_capacity" |

  Scenario Outline: A holder is lost, and its successor does not reach the worker of a job - <cluster>
    Given <cluster>
    And a job that needs a whole worker is running
    When the holder is killed, and its successor cannot reach the worker that runs the job
    And 3 seconds pass in that cell
    Then the cluster has broken <what>

    Examples:
      | cluster                                                     | what       |
      | a cluster with 2 worker(s)                                  | nothing    |
      | a cluster with 2 worker(s), without "the records of starts" | "two_runs" |

  Scenario Outline: Waiting jobs start after a change of holder, though one worker is unreachable - <cluster>
    Given <cluster>
    And a job that needs a whole worker is running
    And the other workers receive no orders
    And a second such job is submitted
    When the holder is killed, and its successor cannot reach the worker that runs the job
    And the other workers receive orders again
    And 1 seconds pass in that cell
    Then the second job <has started>
    And the cluster has broken nothing

    Examples: with the marker, and as after a holder whose version recorded no starts
      | cluster                                                             | has started     |
      | a cluster with 2 worker(s)                                          | has started     |
      | a cluster with 2 worker(s), without "the marker of recorded starts" | has not started |

  Scenario Outline: An urgent job preempts another job, and both complete - <event>
    Given a cluster with 1 worker(s)
    And a checkpointing job of the patient queue uses a whole worker
    When an urgent job that needs a whole worker is submitted, and <moment> seconds pass
    And <event>
    And 3 seconds pass in that cell
    Then the second job has started
    And both jobs eventually complete
    And the cluster has broken nothing

    Examples:
      | moment | event                                                  |
      | 0.5    | nothing else happens                                   |
      | 0.02   | the holder is killed, and another node holds the shard |
      | 0.06   | the holder is killed, and another node holds the shard |
      | 0.15   | the holder is killed, and another node holds the shard |
      | 0.6    | the holder is killed, and another node holds the shard |

  Scenario Outline: A late start order at a worker with a preempted run violates no invariant
    Given a cluster with 1 worker(s)
    And a checkpointing job of the patient queue uses a whole worker
    When the workers handle orders <late> seconds late
    And an urgent job that needs a whole worker is submitted, and 3 seconds pass
    And the workers handle orders without delay
    And 3 seconds pass in that cell
    Then both jobs eventually complete
    And the cluster has broken nothing

    Examples:
      | late |
      | 0.3  |
      | 1.5  |

  Scenario Outline: The entry of a live worker expired while the store was unreachable - <state>
    Given a cluster with 1 worker(s)
    And its tasks take 1 seconds
    When the store stops answering calls
    And 3 seconds pass in that cell
    And the store answers again, without the entries of live workers
    And <seconds> seconds pass in that cell
    And the first job is submitted, and 0.6 seconds pass
    Then the first job has <state>

    Examples:
      | seconds | state       |
      | 0.5     | started     |
      | 3.5     | not started |

  Scenario: A worker whose entry is deleted finishes its runs and gets no new ones
    Given a cluster with 1 worker(s)
    And its tasks take 3 seconds
    And a job that needs a whole worker is running
    When the entries of its workers are deleted while the workers keep running
    And a second such job is submitted
    And 4 seconds pass in that cell
    Then the second job has not started
    And the first job is completed
    And the cluster has broken nothing

  Scenario: A new holder does not wait for a worker that left without runs
    Given a cluster with 2 worker(s)
    And its tasks take 6 seconds
    When one of its idle workers is drained, and is gone after 1 second
    And 2 seconds pass in that cell
    And a job that needs a whole worker is accepted
    And a second such job is submitted
    And the holder is killed
    And another node holds the shard
    And 2 seconds pass in that cell
    Then the second job has started
    And the cluster has broken nothing

  Scenario: The waiting time of a job survives a change of holder
    Given a cluster with 1 worker(s)
    And a job that needs a whole worker is running
    And a second such job is submitted
    When the holder is killed
    And another node holds the shard
    Then the successor knows since when the second job has waited

  Scenario: A job still counts as waiting while no worker has accepted a start order
    Given a cluster with 1 worker(s)
    And its tasks take 2 seconds
    When the holder is cut off from the workers
    And the first job is submitted, and 0.6 seconds pass
    Then 1 job is reported as waiting in the queue "normal"
    And the first job has not started

  Scenario: A job that a worker has started does not count as waiting
    Given a cluster with 1 worker(s)
    And its tasks take 2 seconds
    When the first job is submitted, and 0.6 seconds pass
    Then 0 jobs are reported as waiting in the queue "normal"
