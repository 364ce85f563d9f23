Feature: Who holds a shard, as one node sees it

  Scenario: A node that waits for its turn looks whether another one has claimed
    Given a follower that comes 30th among those who could take over
    When its holder lets go
    Then it waits for its turn
    When 0.3 seconds pass for the node
    Then it reads the claim
    When the claim that it reads is another node's
    Then it connects to that node

  Scenario: The longest wait for a turn is bounded, however many nodes there are
    Given a follower that comes 300th among those who could take over
    When its holder lets go
    And 1.1 seconds pass for the node
    Then it claims

  Scenario: A holder that goes on writing is not replaced by a node that waits for its turn
    Given a follower that comes 30th among those who could take over
    When its holder lets go
    And 0.3 seconds pass for the node
    And the partition that it reads has grown
    Then it connects to that node

  Scenario: A node that waits for its turn follows the new holder that tells it so
    Given a follower that comes 30th among those who could take over
    When its holder lets go
    And another node tells that it holds the shard
    Then it follows that node

  Scenario: A node that still follows the former holder turns to the new one
    Given a follower that comes 30th among those who could take over
    When another node tells that it holds the shard
    Then it follows that node
    And calls go to that node from now on

  Scenario: A node that lost the race leaves the winner the time to hear that it has won
    Given a follower that comes 2th among those who could take over
    When its holder lets go
    And the claim that it reads is another node's
    And that node says nothing of a claim
    And 0.2 seconds pass for the node
    Then it does not claim
    When another node tells that it holds the shard
    Then it follows that node

  Scenario: A winner that says nothing of its claim for a second has let go
    Given a follower that comes 2th among those who could take over
    When its holder lets go
    And the claim that it reads is another node's
    And that node says nothing of a claim for 1.1 seconds
    Then it reads the claim

  Scenario: A new holder tells the nodes that waited for their turns
    Given a cluster of 12 nodes
    When the holder of the cluster is killed
    And 0.4 seconds pass in that cluster
    Then every other node of it is ready

  Scenario Outline: A node that nobody named claims in the end, however slow the store: <seconds>
    Given a node that nobody named and that takes the holder for lost
    When 3 seconds pass for it, each look being answered after <seconds> seconds
    Then it claims

    Examples:
      | seconds |
      | 0.004   |
      | 0.12    |
      | 0.4     |
