Feature: Election of a shard's holder, as one node sees it

  Scenario: A node that waits for its turn checks whether another node has claimed the shard
    Given a follower that is successor number 30
    When its holder gives up the shard
    Then it waits for its turn
    When 0.3 seconds pass for the node
    Then it reads the claim
    When it reads a newer claim of another node
    Then it connects to that node

  # A node that waited for its turn when it was told to stop claimed the shard all the same.
  Scenario: A node that may not claim while it waits for its turn leaves the shard to others
    Given a follower that is successor number 30
    When its holder gives up the shard
    And it may not claim any more
    And 2 seconds pass for the node
    Then it has not claimed the shard

  # Nodes that had been told to stop rested, though no other node was left that could claim.
  Scenario: A node that may claim again looks at once, and claims
    Given a follower that is successor number 1
    When it may not claim any more
    And its holder gives up the shard
    And 0.1 seconds pass for the node
    Then it has not claimed the shard
    When it may claim again
    Then it reads the claim
    When it reads the same claim once more
    Then it claims the shard

  Scenario: The wait for a turn is bounded for any number of nodes
    Given a follower that is successor number 300
    When its holder gives up the shard
    And 1.1 seconds pass for the node
    Then it claims the shard

  Scenario: A node that waits for its turn does not replace a holder that still writes
    Given a follower that is successor number 30
    When its holder gives up the shard
    And 0.3 seconds pass for the node
    And it reads the same claim and a later end of the partition
    Then it connects to that node

  Scenario: A node that waits for its turn follows a new holder that reports its claim
    Given a follower that is successor number 30
    When its holder gives up the shard
    And another node reports that it holds the shard
    Then it follows that node

  Scenario: A node that still follows the previous holder switches to the new holder
    Given a follower that is successor number 30
    When another node reports that it holds the shard
    Then it follows that node
    And it reports that node as the new holder

  Scenario: A node that lost the election gives the winner time to learn that its claim succeeded
    Given a follower that is successor number 2
    When its holder gives up the shard
    And it reads a newer claim of another node
    And that node reports no claim
    And 0.2 seconds pass for the node
    Then it does not claim the shard
    When another node reports that it holds the shard
    Then it follows that node

  Scenario: A winner that reports no claim for one second has given up the shard
    Given a follower that is successor number 2
    When its holder gives up the shard
    And it reads a newer claim of another node
    And that node still reports no claim after 1.1 seconds
    Then it reads the claim

  Scenario: A new holder notifies the nodes that waited for their turns
    Given a cluster of 12 nodes
    When the holder of the cluster is killed
    And 0.4 seconds pass in that cluster
    Then every other node of the cluster is ready

  Scenario Outline: A node that is not a successor claims the shard even if the store is slow: <seconds>
    Given a node that is not a successor and whose connection to the holder was refused
    When 3 seconds pass for the node, and each read is answered after <seconds> seconds
    Then it claims the shard

    Examples:
      | seconds |
      | 0.004   |
      | 0.12    |
      | 0.4     |

  # A status of the process before the holder's, read late, made the holder count as dead.
  Scenario Outline: Another process at the holder's address shows that the holder is dead: <stream>
    Given a follower that is successor number 1
    When it reads a claim of the next process at its holder's address
    And another process at that address reports no claim on a stream <stream>
    And it claims the shard, and the store accepts the claim
    Then the bound on earlier holders' orders rests on <basis>

    Examples:
      | stream                                      | basis          |
      | that it opened after it knew of the claim   | holder_stopped |
      | that it opened before it knew of the claim  | claim          |
      | that the other process opened               | claim          |

  # Nodes that are told at different ports of one translated address were taken for one after the other.
  Scenario: A claim from another port of its own host does not show a node that earlier orders are over
    Given a node that has just started
    When it reads a claim of a node at another port of its own host
    And the store accepts its claim
    Then the bound on earlier holders' orders rests on claim

  Scenario: A process at another port of the holder's host does not show that the holder is dead
    Given a follower that is successor number 1
    When it reads a claim of the next process at its holder's address
    And a process at another port of that host reports no claim
    And it claims the shard, and the store accepts the claim
    Then the bound on earlier holders' orders rests on claim

  # A node that gave the shard up and claimed it again counted its own leases from the death of the
  # holder before its first claim.
  Scenario: A node that claims again counts earlier orders from when it gave the shard up
    Given a node that holds the shard since the last holder's process ended, at 10 seconds
    When it gives the shard up at 50 seconds, and claims it again at 54 seconds
    Then earlier holders give orders until 50 seconds, by its bound

  # The record that a node has in memory may be older than the one in the store.
  Scenario: A node that claims again goes by the record in the store
    Given a node that holds the shard since the last holder's process ended, at 10 seconds
    And its record in the store tells of 3 seconds
    When it gives the shard up at 50 seconds, and claims it again at 50.5 seconds
    Then earlier holders give orders until 53 seconds, by its bound
