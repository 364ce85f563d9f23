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

  Scenario: A link that is cut for one host passes nothing of it until it is healed, and all of another
    Given a connection through the proxy from "10.0.0.1"
    When the link is struck by "cut" for 3 seconds for "10.0.0.1"
    And both ends of the connection write
    Then "nothing" has arrived, and after 3 seconds both have
    Given a connection through the proxy from "10.0.0.2"
    When the link is struck by "cut" for 3 seconds for "10.0.0.1"
    And both ends of the connection write
    Then both have arrived at once

  Scenario: What connects through a link that is cut gets no further until it is healed
    Given a link of the proxy that is cut for 3 seconds for "10.0.0.1"
    When a host connects through it from "10.0.0.1"
    Then the target has been reached 0 times, and after 3 seconds 1 time

  Scenario Outline: A link that follows its target refuses connections while the target does, unless it is cut
    Given a link that follows its target
    When the target's process ends while the link is <cut>
    Then connections through the link are <outcome>
    When the target's process has started again
    Then connections through the link are taken

    Examples:
      | cut     | outcome |
      | not cut | refused |
      | cut     | taken   |

  Scenario: Nodes of several zones tell the proxy's address, and agree with the workers on the longest lease
    Given a soak plan of 6 nodes in 3 zones with leases of 10000 ms
    Then each node's settings tell an address of the proxy that leads to the node
    And no two nodes tell the same address
    And workers and nodes agree on leases of 10000 ms

  Scenario: Kinds of faults that are not drawn leave the schedules of other seeds as they were
    When the soak's schedule of seed 20 is drawn for 8 seconds and 4 faults
    Then it is "links_cut_back 2.0 8.81, store_loses 2.03 5.96, stop_node 3.57 3.6, links_cut_back 3.68 3.4"

  Scenario Outline: A fault of the holder strikes what the holder alone uses, and does not count where none is known
    Given a soak plan of 6 nodes in 3 zones with leases of 10000 ms
    When "<fault>" strikes while the holder is <holder>
    Then the links struck are "<links>" for the nodes "<sources>"
    And <count> faults have struck

    Examples:
      | fault              | holder | links                                               | sources         | count |
      | holder_loses_store | 4      | store-4                                             |                 | 1     |
      | holder_loses_store | none   |                                                     |                 | 0     |
      | cut_holder_zone    | 4      | peers-1 peers-4                                     | 0 2 3 5         | 1     |

  Scenario: A cut of a zone takes its nodes from all outside, and its workers from the nodes outside
    Given a soak plan of 6 nodes in 3 zones with leases of 10000 ms
    When "cut_zone" strikes zone 1
    Then these ways are cut, and no others
      | links                                                         | sources |
      | peers-1 peers-4                                               | 0 2 3 5 |
      | peers-0 peers-2 peers-3 peers-5                               | 1 4     |
      | worker-1 worker-4 worker-7                                    | 0 2 3 5 |
      | worker-0 worker-2 worker-3 worker-5 worker-6 worker-8 worker-9 | 1 4     |
      | store-1                                                       |         |
      | store-4                                                       |         |

  Scenario: A schedule is read from a file
    When a soak's schedule is read from a file
      """
      [{"at": 9.5, "fault": "restart_holder", "seconds": 0.3},
       {"at": 8, "fault": "cut_zone", "seconds": 17, "target": 2}]
      """
    Then it is "cut_zone 8.0 17.0, restart_holder 9.5 0.3"

  Scenario: The orders of faults that tell builds apart can be played
    Then every file of "docs/design/soak-orders" holds a schedule

  Scenario: Two runs at once take networks of their own
    When two runs lock a network from the same number on
    Then their networks differ
    And the network that one of them lets go can be taken again

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

  # Nodes of real processes could not be cut off from each other, as zones are.
  Scenario: A zone of real processes is cut off, and no promise is broken
    When a soak of seed 31 in 3 zones runs for 10 seconds with 2 faults of "cut_holder_zone,restart_holder"
    Then its last line tells of no violation
    And no process of the soak is left

  # The load: real processes, faults that overlap; no moment is asserted.
  Scenario: A short run over real processes breaks no promise
    When a soak of seed 20 runs for 8 seconds with 4 faults
    Then its last line tells of no violation
    And no process of the soak is left
