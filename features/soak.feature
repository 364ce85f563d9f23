Feature: A soak of real processes
  Real nodes run over loopback beside stand-ins in processes of their own, and faults drawn from a
  seed strike them.  What callers and workers saw is audited while it runs.

  Scenario: A seed draws the same schedule again
    When the soak's schedule of seed 7 is drawn twice
    Then both soak schedules are alike and hold 8 faults

  Scenario: What two processes saw is checked in the order of its times
    Given a soak audit that hears from "workers" and "callers"
    And "callers" told that a job was handed in at 1.0
    When "workers" tell of a start on worker "a" at 2.0
    And "workers" tell of a lapse on worker "a" at 3.0
    And "workers" tell of a start on worker "b" at 3.1
    And "workers" tell of a lapse on worker "b" at 3.2
    And "callers" have told everything until 4.0
    Then the soak audit found nothing in 2 starts

  Scenario: Two runs of one task at once are found
    Given a soak audit that hears from "workers" and "callers"
    And "callers" told that a job was handed in at 1.0
    When "workers" tell of a start on worker "a" at 2.0
    And "workers" tell of a lapse on worker "a" at 3.0
    And "workers" tell of a start on worker "b" at 3.1
    And "workers" tell of a start on worker "c" at 5.0
    And "workers" tell of a lapse on worker "b" at 5.1
    And "callers" have told everything until 9.0
    Then the soak audit found "two_runs"

  Scenario Outline: A start after an end that is noted then or later is found, unless the lease lapsed between
    Given a soak audit that hears from "workers" and "callers"
    And "callers" told that a job was handed in at 1.0
    When "workers" tell of a start on worker "a" at 2.0
    And "workers" tell of an end "done" on worker "a" at 3.0
    And "workers" tell <first> at 3.5
    And "workers" tell of a start on worker "b" at 5.0
    And "workers" tell <then> at 6.0
    And "callers" have told everything until 9.0
    Then the soak audit found "<violations>"

    Examples:
      | first                                 | then                                  | violations     |
      | that the end on worker "a" is noted   | of nothing                            | run_after_done |
      | of nothing                            | that the end on worker "a" is noted   | run_after_done |
      | of nothing                            | of nothing                            |                |
      | that the lease of worker "a" is over  | that the end on worker "a" is noted   |                |

  Scenario Outline: A start over a second after the job was shown as completed is found
    Given a soak audit that hears from "workers" and "callers"
    And "callers" told that a job was handed in at 1.0
    When "workers" tell of a start on worker "a" at 2.0
    And "workers" tell of an end "done" on worker "a" at 3.0
    And "workers" tell that the lease of worker "a" is over at 3.5
    And "callers" tell that the job is shown as "<state>" at 4.0
    And "workers" tell of a start on worker "b" at <at>
    And "callers" have told everything until 9.0
    Then the soak audit found "<violations>"

    Examples:
      | state     | at  | violations     |
      | completed | 5.1 | run_after_done |
      | completed | 4.9 |                |
      | running   | 5.1 |                |

  Scenario: Nothing is checked before every process has told what came before
    Given a soak audit that hears from "workers" and "callers"
    When "workers" tell of a start on worker "a" at 2.0
    And "workers" tell of a lapse on worker "a" at 3.0
    Then the soak audit found nothing in 0 starts

  Scenario: A stand-in whose process is late ends a lease in its time all the same
    Given a stand-in's timers
    When something is due after 2 seconds and the process runs only after 5
    Then it saw second 2 as the present one

  Scenario Outline: A link that is cut one way passes what it held once it is healed
    Given a connection through the proxy
    When the link is struck by "<mode>" for 3 seconds
    And both ends of the connection write
    Then "<before>" has arrived, and after 3 seconds both have

    Examples:
      | mode     | before |
      | cut_out  | back   |
      | cut_back | out    |

  Scenario: A connection that has fallen silent passes nothing more
    Given a connection through the proxy
    When the link is struck by "silence" for 3 seconds
    And both ends of the connection write
    Then nothing has arrived on either side

  # Callers of real processes lost calls that waited for a holder where all nodes were stopped.
  Scenario: Calls are answered where real nodes are all stopped as planned
    When a soak of seed 11 runs for 10 seconds with 1 faults of "stop_all_nodes" and 20 jobs a second
    Then its last line tells of no violation
    And no process of the soak is left

  Scenario: A call that is cut is a violation where only planned work strikes
    Given a soak audit of planned work that hears from "workers" and "callers"
    When "callers" tell that a call was cut at 2.0
    And "callers" have told everything until 4.0
    Then the soak audit found "cut_by_stop"

  # The load: real processes, faults that overlap; no moment is asserted.
  Scenario: A short run over real processes breaks no promise
    When a soak of seed 20 runs for 8 seconds with 4 faults
    Then its last line tells of no violation
    And no process of the soak is left
