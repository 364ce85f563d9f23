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
