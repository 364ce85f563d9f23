Feature: What must always hold of jobs, under faults, in virtual time

  Several nodes over stand-ins for the store, the workers and the advice service. Everything
  that callers and workers see is checked: room, runs, order, attempts, gangs, cancels, what
  callers are told, and that every accepted job comes to its end.

  Scenario: A calm run breaks nothing and finishes every job
    When jobs are played over seeds 1 to 4 without faults
    Then nothing that must hold is broken
    And at least 150 jobs were completed

  Scenario: Schedules of one to four faults break nothing
    When jobs are played over seeds 100 to 160 with drawn faults
    Then nothing that must hold is broken

  Scenario Outline: A schedule that once broke something holds: <seed>
    When jobs are played over seeds <seed> to <seed> with drawn faults
    Then nothing that must hold is broken

    Examples: a holder that was cut off said "no such job" of jobs accepted elsewhere
      | seed |
      | 1    |
      | 11   |
      | 71   |
      | 94   |

    Examples: a caller who asked twice was told "accepted" of a job refused to the other
      | seed |
      | 98   |
      | 199  |
      | 459  |
      | 543  |

    Examples: a gang waited for ever: for workers it never asked about, or that nobody tried again
      | seed |
      | 136  |
      | 1079 |
      | 1667 |

    Examples: nodes that followed the former holder went on sending their calls to it
      | seed |
      | 4842 |

    Examples: a cancel was forgotten with its job, which was refused, and ran when it came again
      | seed |
      | 8038 |

  Scenario Outline: A start that arrives after its holder was replaced - <cluster>
    Given <cluster>
    When the workers take orders 0.8 seconds late
    And a job that takes all of its worker is accepted, and 0.1 seconds pass
    And the workers take orders in time
    And the holder is killed
    And another node holds the shard
    And 5 seconds pass in that cell
    Then the cluster has broken <what>

    Examples:
      | cluster                                                         | what       |
      | a cluster with 2 worker(s)                                      | nothing    |
      | a cluster with 2 worker(s), without "fencing tokens at workers" | "two_runs" |

  Scenario Outline: A worker that is cut off runs on - <cluster>
    Given <cluster>
    And a job that takes all of its worker is at work
    When the holder is cut off from the worker that runs it
    And 3 seconds pass in that cell
    Then the cluster has broken <what>

    Examples:
      | cluster                                                 | what       |
      | a cluster with 2 worker(s)                              | nothing    |
      | a cluster with 2 worker(s), without "the end of leases" | "two_runs" |

  Scenario Outline: A holder is lost before a job's record is in the store - <cluster>
    Given <cluster>
    And its tasks take 0.4 seconds
    When the store falls silent
    And the first job is handed in, and 1.5 seconds pass
    And the holder is killed
    And the store answers again in that cell
    And another node holds the shard
    And the first job is handed in, and 2 seconds pass
    Then the cluster has broken <what>

    Examples:
      | cluster                                                            | what             |
      | a cluster with 2 worker(s)                                         | nothing          |
      | a cluster with 2 worker(s), without "starts only after the commit" | "run_after_done" |

  Scenario Outline: A holder is lost before an end is in the store - <cluster>
    Given <cluster>
    And its tasks take 2 seconds
    And a job that takes all of its worker is at work
    When the store falls silent
    And 2.5 seconds pass in that cell
    And the holder is killed
    And the store answers again in that cell
    And another node holds the shard
    And 4 seconds pass in that cell
    Then the cluster has broken <what>

    Examples:
      | cluster                                                                | what             |
      | a cluster with 2 worker(s)                                             | nothing          |
      | a cluster with 2 worker(s), without "ends noted only after the commit" | "run_after_done" |

  Scenario Outline: A former holder wakes up and is asked for its successor's job - <cluster>
    Given <cluster>
    When the holder is paused
    And another node holds the shard
    And a job that takes all of its worker is accepted
    And the former holder wakes up and is asked for the job
    Then the cluster has broken <what>

    Examples:
      | cluster                                                         | what               |
      | a cluster with 2 worker(s)                                      | nothing            |
      | a cluster with 2 worker(s), without "proof before unknown jobs" | "accepted_unknown" |

  Scenario Outline: A cancelled run outlives its holder - <cluster>
    Given <cluster>
    And its workers take 0.6 seconds to stop a run
    And a job that takes all of its worker is at work
    When the holder is cut off from the workers
    And the job is cancelled
    And the holder is killed
    And another node holds the shard
    And another such job is handed in
    Then the cluster has broken <what>
    And the other job runs in the end

    Examples:
      | cluster                                                  | what            |
      | a cluster with 1 worker(s)                               | nothing         |
      | a cluster with 1 worker(s), without "room of stray runs" | "over_capacity" |

  Scenario Outline: A holder is lost, and its successor does not reach the worker of a job - <cluster>
    Given <cluster>
    And a job that takes all of its worker is at work
    When the holder is killed, and its successor cannot reach the worker that runs it
    And 3 seconds pass in that cell
    Then the cluster has broken <what>

    Examples:
      | cluster                                                   | what       |
      | a cluster with 2 worker(s)                                | nothing    |
      | a cluster with 2 worker(s), without "the record of starts" | "two_runs" |

  Scenario Outline: What waited while a holder was lost begins, though one worker is not reached - <cluster>
    Given <cluster>
    And a job that takes all of its worker is at work
    And the other workers take no orders
    And another such job is handed in
    When the holder is killed, and its successor cannot reach the worker that runs it
    And the other workers take orders again
    And 1 seconds pass in that cell
    Then the other job <has begun>
    And the cluster has broken nothing

    Examples: with the record, and as after a holder of a version that kept none
      | cluster                                                         | has begun     |
      | a cluster with 2 worker(s)                                      | has begun     |
      | a cluster with 2 worker(s), without "the mark of recorded starts" | has not begun |

  Scenario Outline: An urgent job makes room for itself, and nothing is lost by it - <event>
    Given a cluster with 1 worker(s)
    And a patient job with checkpoints takes all of its worker
    When an urgent job that needs all of it is handed in, and <moment> seconds pass
    And <event>
    And 3 seconds pass in that cell
    Then the other job has begun
    And both jobs are done in the end
    And the cluster has broken nothing

    Examples:
      | moment | event                                                |
      | 0.5    | nothing else happens                                 |
      | 0.02   | the holder is killed, and another node holds the shard |
      | 0.06   | the holder is killed, and another node holds the shard |
      | 0.15   | the holder is killed, and another node holds the shard |
      | 0.6    | the holder is killed, and another node holds the shard |

  Scenario Outline: A start that comes late to a worker where a run gives way breaks nothing
    Given a cluster with 1 worker(s)
    And a patient job with checkpoints takes all of its worker
    When the workers take orders <late> seconds late
    And an urgent job that needs all of it is handed in, and 3 seconds pass
    And the workers take orders in time
    And 3 seconds pass in that cell
    Then both jobs are done in the end
    And the cluster has broken nothing

    Examples:
      | late |
      | 0.3  |
      | 1.5  |

  Scenario Outline: An entry of a worker that lapsed while the store was away - <state>
    Given a cluster with 1 worker(s)
    And its tasks take 1 seconds
    When the store falls silent
    And 3 seconds pass in that cell
    And the store answers again, without the entries of workers that live
    And <seconds> seconds pass in that cell
    And the first job is handed in, and 0.6 seconds pass
    Then the first job has <state>

    Examples:
      | seconds | state     |
      | 0.5     | begun     |
      | 3.5     | not begun |

  Scenario: A worker whose entry goes while the store is well gets nothing new, and ends what it has
    Given a cluster with 1 worker(s)
    And its tasks take 3 seconds
    And a job that takes all of its worker is at work
    When the entries of its workers go, though they serve on
    And another such job is handed in
    And 4 seconds pass in that cell
    Then the other job has not begun
    And the first job is done
    And the cluster has broken nothing

  Scenario: A worker that left with nothing to do keeps no new holder waiting
    Given a cluster with 2 worker(s)
    And its tasks take 6 seconds
    When one of its workers leaves, and is gone after 1 second
    And 2 seconds pass in that cell
    And a job that takes all of its worker is accepted
    And another such job is handed in
    And the holder is killed
    And another node holds the shard
    And 2 seconds pass in that cell
    Then the other job has begun
    And the cluster has broken nothing

  Scenario: How long a job has waited outlives its holder
    Given a cluster with 1 worker(s)
    And a job that takes all of its worker is at work
    And another such job is handed in
    When the holder is killed
    And another node holds the shard
    Then the successor knows since when the other job waits

  Scenario: A job of which no worker has taken an order is still one that waits
    Given a cluster with 1 worker(s)
    And its tasks take 2 seconds
    When the holder is cut off from the workers
    And the first job is handed in, and 0.6 seconds pass
    Then 1 job is said to wait in the queue "normal"
    And the first job has not begun

  Scenario: A job that a worker has taken waits no longer
    Given a cluster with 1 worker(s)
    And its tasks take 2 seconds
    When the first job is handed in, and 0.6 seconds pass
    Then 0 jobs are said to wait in the queue "normal"
