Feature: Cells with many nodes and shards, and a store with a limited request rate

  Scenario: The layout of a new cell is fixed only after workers stop joining
    Given a new cell of 4 workers, with 4 workers per shard
    When 8 more workers join it, one every 0.3 seconds
    And 2 seconds pass in the large cell
    Then its layout has 3 shards

  Scenario: Every shard of a new cell gets a holder, and the store rejects few calls
    Given a large cell of 40 nodes and 6 shards, whose store serves 100 writes and 500 reads per second
    When 4 seconds pass in the large cell
    Then each of its shards has one holder, and at least 4 nodes hold one
    And every node of it is ready
    And the store rejected no write and at most 60 reads

  Scenario: Half of the holders are lost at once, and the store rejects few calls
    Given a large cell of 40 nodes and 6 shards, whose store serves 100 writes and 500 reads per second
    When 4 seconds pass in the large cell
    And three of its holders are powered off
    And 4 seconds pass in the large cell
    Then each of its shards has one holder, and at least 4 nodes hold one
    And every node of it is ready
    And the store rejected no write and at most 60 reads

  Scenario: Most nodes are lost at once, including the successors of the holders
    Given a large cell of 40 nodes and 6 shards, whose store serves 100 writes and 500 reads per second
    When 4 seconds pass in the large cell
    And all but 8 of its nodes are powered off, the holders first
    And 8 seconds pass in the large cell
    Then each of its shards has one holder, and at least 3 nodes hold one
    And every node of it is ready

  Scenario: Holders of many shards share the request rate of the store
    Given a large cell of 8 nodes and 6 shards, whose store serves 100 writes and 500 reads per second
    When 4 seconds pass in the large cell
    And 400 jobs are submitted to it over 4 seconds
    And 3 seconds pass in the large cell
    Then all of these jobs were accepted
    And the store rejected no write and at most 60 reads

  Scenario: The size of a node's heartbeats does not grow with the number of shards
    Given a large cell of 12 nodes and 6 shards, whose store serves 100 writes and 500 reads per second
    When 8 seconds pass in the large cell
    Then a follower's heartbeat contains no claim, and a holder's only its own claims

  Scenario: Nodes that connected to each other at the same time keep both connections
    Given a large cell of 12 nodes and 6 shards, whose store serves 100 writes and 500 reads per second
    When 4 seconds pass in the large cell
    And its peer connections are recorded
    And 3 seconds pass in the large cell
    Then no peer connection of it was lost

  Scenario: A new peer is notified of the successors, and all peers only when the successors change
    Given a holder that has notified 200 peers of its successors
    When a small node joins
    Then only that node is notified
    When a node larger than all others joins
    Then all of its peers are notified

  Scenario: Only a node that cannot reach the store is sent copies of a new configuration
    Given a large cell of 12 nodes and 6 shards, whose store serves 100 writes and 500 reads per second
    When 4 seconds pass in the large cell
    And its configuration changes while one node is cut off from the store
    And 4 seconds pass in the large cell
    Then every node of it has the new configuration
    And copies of it were sent to the node that was cut off, and to no other node

  Scenario: In a large cell the successors detect a lost holder, and all other nodes learn of the loss
    Given a large cell of 70 nodes and 4 shards, whose store serves 300 writes and 1500 reads per second
    When 5 seconds pass in the large cell
    Then a holder sends heartbeats to its successors every 0.2 seconds, to other nodes every 0.28 seconds
    When one of its holders is powered off
    And 1.6 seconds pass in the large cell
    Then each of its shards has one holder, and at least 3 nodes hold one
    And every node of it is ready
    And the store rejected no write and at most 0 reads

  Scenario: A small node that took over the shard hands the shard to a larger node
    Given a cell of 5 nodes, 1 of them large
    When the large node is powered off
    And 3 seconds pass in the large cell
    Then a small node holds the shard
    When the large node starts again
    And 5 seconds pass in the large cell, with jobs submitted
    Then the large node holds the shard
    And the shard has had 3 holders
    And all of these jobs were accepted

  Scenario: Among nodes of equal size the shard keeps its holder
    Given a cell of 5 nodes, 0 of them large
    When 8 seconds pass in the large cell
    Then the shard has had 1 holder

  Scenario: In a busy cell events that are close together share a placement pass
    Given a cell of 3 nodes, 0 of them large
    When 400 jobs are submitted to it over 1 seconds, and the placement passes are counted
    Then there were at most 210 placement passes
    And all of these jobs were accepted
