Feature: A task in doubt waits for every lease that an earlier holder may have granted

  A holder that is cut off with some workers may extend their leases until its last proof of
  ownership is too old.  A new holder starts their tasks again only after that.

  # A holder went on behind a cut, because all nodes that it knew lacked the store, while a node that
  # it did not know took the shard over.
  Scenario Outline: A holder that is cut off stops, also if it never met the next one: <node>
    Given a cell with a task that runs for 40 seconds on one worker
    When the holder and that worker are cut off, and the next holder is <node>
    And 30 seconds pass in that cell
    Then another node has started the task again
    And the cluster has broken nothing

    Examples:
      | node                            |
      | a node that starts              |
      | a node that is added            |
      | cut off from the holder only    |
      | restarted under its address     |
      | known only to a relaying peer   |

  # The append that records a start may be sent before an outage of the store and acknowledged after
  # it, when it proves ownership no more; the start was then withdrawn and planned anew.
  Scenario: A start that was recorded through an outage is ordered after the next proof of ownership
    Given a cell with a task that runs for 40 seconds on one worker
    When the store stops answering while the start of a second job is being recorded
    And 6 seconds pass in that cell
    Then the second job has not started
    When the store answers again in that cell
    And 1.5 seconds pass in that cell
    Then the second job has started
    And no start was withdrawn
    And the cluster has broken nothing

  Scenario: While the store is away, starts are planned, and none is ordered
    Given a cell with a task that runs for 40 seconds on one worker
    When the store stops answering calls
    And 5 seconds pass in that cell
    Then the holder may plan starts, but not order them
    When the store answers again in that cell
    And 1.5 seconds pass in that cell
    Then the holder may order starts
    And the cluster has broken nothing

  # A new holder that knew the last one dead took the leases of the holder before that one for over,
  # though that one was alive behind a cut.
  Scenario Outline: Leases of a holder that is cut off are waited for over further changes: <changes>
    Given a cell with a task that runs for 40 seconds on one worker
    When the holder and that worker are cut off, and another node holds the shard
    And the holder changes again because of <changes>
    And 30 seconds pass in that cell
    Then another node has started the task again
    And the cluster has broken nothing

    Examples:
      | changes                                          |
      | a restart of all                                 |
      | a restart of all, a restart of all               |
      | a restart of all, a death, a restart of all      |
      | a death                                          |
      | a death, a restart of all                        |
      | a death, a death, a restart of all               |

  # A node that held the shard since its predecessor died, gave the shard up and claimed it again
  # counted earlier orders from that death, long before its own last leases.
  Scenario Outline: A node that claims its shard again waits for the leases of its own earlier term: <cause>, task of <seconds> s
    Given a cell with leases of 10 s, whose holder claimed it back, and a task of <seconds> s
    When that task's worker is cut off, and the holder gives the shard up because <cause>
    And all other nodes die before they claim it, so that the same process holds it again
    And the worker is reached again 8 s after it was cut off, and 20 s pass
    Then the cluster has broken nothing
    And the task has been started 1 time(s)

    Examples: two runs at a time
      | cause                   | seconds |
      | the store turns it away | 12      |
      | a larger node comes     | 12      |

    Examples: a start after an end that is noted later
      | cause                   | seconds |
      | the store turns it away | 8       |
      | a larger node comes     | 8       |

  # The end was noted and not used, as a second run went on; when that was lost, the task started
  # again, seconds after its end had been noted.
  Scenario Outline: A task whose end was noted stays done, whatever becomes of other runs: <cause>
    Given a cell with leases of 10 s, whose holder claimed it back, and a task of 8 s
    When that task's worker is cut off, and the holder gives the shard up because <cause>
    And all other nodes die before they claim it, so that the same process holds it again
    And the worker is reached again 8 s after it was cut off, and 1 s pass
    And each worker that runs it then crashes, and 25 s pass
    Then the cluster has broken nothing
    And the task has been started 1 time(s)

    Examples:
      | cause                   |
      | the store turns it away |
      | a larger node comes     |

  # Any word of another process at the holder's address showed that the holder was dead.
  Scenario: A late word of the process before the holder's tells nothing of the holder's leases
    Given a cell with a task that runs for 40 seconds on one worker
    When the holder's next process holds the shard, and a peer knows that while it hears the former
    And that holder and that worker are cut off, and the peer claims the shard at once
    And 30 seconds pass in that cell
    Then another node has started the task again
    And the cluster has broken nothing

  # Without the note that earlier holders give no orders any more, this takes 4 seconds longer.
  Scenario: A task in doubt starts soon where the last holder is known to be dead
    Given a cell with a task that runs for 40 seconds on one worker
    When 6 seconds pass in that cell
    And the worker that runs the job is cut off, and all nodes restart
    And 7.4 seconds pass in that cell
    Then another node has started the task again
    And the cluster has broken nothing

  Scenario Outline: The bound on earlier holders' orders: last one stopped by <stopped>, told <told> s
    Given a claim that is sent at 100 seconds
    And the last holder has stopped by <stopped> seconds, and its record tells <told> seconds
    Then earlier holders give orders until <until> seconds at the latest
    And the new holder's record tells <tells> seconds

    Examples:
      | stopped | told    | until | tells |
      | 99   | 0       | 99    | 0     |
      | 99   | 4       | 103   | 3     |
      | 99.5 | 4       | 103.5 | 3.5   |
      | 96   | 4       | 100   | 0     |
      | 100  | 4       | 104   | 4     |
      | 99   | unknown | 104   | 4     |
      | no   | 0       | 104   | 4     |
      | no   | unknown | 104   | 4     |

  Scenario: Claims of builds that tell nothing of earlier holders, and of later ones, are read
    Given a claim's record of a build that tells nothing of earlier holders
    Then this build reads it, and knows nothing of earlier holders
    Given a claim's record of this build
    Then a build that tells nothing of earlier holders reads it

  # A worker that had started again under its name was waited for one lease from then on, though an
  # earlier holder could still give it orders.
  Scenario Outline: A worker that starts again while an earlier holder may order: <now>
    Given a new holder whose predecessors may give orders until 104 seconds
    When one of its workers starts again at <now> seconds
    Then its leases are over at <until> seconds at the earliest

    Examples:
      | now | until  |
      | 101 | 110.37 |
      | 104 | 110.37 |
      | 110 | 116.37 |

  Scenario Outline: Wherever the holder's zone is cut off, no task runs twice: seed <seed>
    When cuts of the holder's zone are played with seed <seed>, in <shards> shard(s)
    Then nothing that must hold is broken

    Examples: a holder that went on without a proof, or leases of an earlier one taken for over
      | seed | shards |
      | 5000 | 1      |
      | 5014 | 1      |
      | 5018 | 1      |
      | 5011 | 3      |

  Scenario Outline: Wherever a holder gets its shard back, no task runs twice: seed <seed>
    When holders that get their shards back are played with seed <seed>, in 1 shard(s)
    Then nothing that must hold is broken

    Examples: a node that counted earlier orders from before its own term
      | seed |
      | 2    |
      | 8    |
      | 11   |
      | 15   |
