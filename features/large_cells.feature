Feature: A cell of many nodes and shards, at a store that takes only so many calls

  Scenario: A new cell is laid out only once its workers have ceased to come
    Given a new cell of 4 workers and 4 workers a shard
    When 8 more workers come to it, one each 0.3 seconds
    And 2 seconds pass in the large cell
    Then it is laid out in 3 shards

  Scenario: Every shard of a new cell gets its holder, and the store turns nobody away
    Given a large cell of 40 nodes and 6 shards, whose store takes 100 writes and 500 reads a second
    When 4 seconds pass in the large cell
    Then each of its shards has one holder, and 4 nodes at least hold one
    And every node of it is ready
    And the store turned away no write and 60 reads at most

  Scenario: Half of the holders are lost at once, and the store turns nobody away
    Given a large cell of 40 nodes and 6 shards, whose store takes 100 writes and 500 reads a second
    When 4 seconds pass in the large cell
    And three holders of it lose their power
    And 4 seconds pass in the large cell
    Then each of its shards has one holder, and 4 nodes at least hold one
    And every node of it is ready
    And the store turned away no write and 60 reads at most

  Scenario: Most nodes are lost at once, those that were to take over among them
    Given a large cell of 40 nodes and 6 shards, whose store takes 100 writes and 500 reads a second
    When 4 seconds pass in the large cell
    And all but 8 of its nodes lose their power, the holders first
    And 8 seconds pass in the large cell
    Then each of its shards has one holder, and 3 nodes at least hold one
    And every node of it is ready

  Scenario: Holders of many shards leave the store room for each other
    Given a large cell of 8 nodes and 6 shards, whose store takes 100 writes and 500 reads a second
    When 4 seconds pass in the large cell
    And 400 jobs are handed in to it over 4 seconds
    And 3 seconds pass in the large cell
    Then all of these jobs were accepted
    And the store turned away no write and 60 reads at most

  Scenario: What a node tells its peers does not grow with the number of shards
    Given a large cell of 12 nodes and 6 shards, whose store takes 100 writes and 500 reads a second
    When 8 seconds pass in the large cell
    Then a follower's heartbeat names no claim, and a holder's only its own

  Scenario: Nodes that called each other at once keep both their streams
    Given a large cell of 12 nodes and 6 shards, whose store takes 100 writes and 500 reads a second
    When 4 seconds pass in the large cell
    And its streams are counted
    And 3 seconds pass in the large cell
    Then no stream of it was lost

  Scenario: Who is to take over is told to those who come, and to all only when it changes
    Given a holder that has told 200 peers who is to take over
    When a small node comes
    Then only that node is told
    When a larger node than all others comes
    Then all of its peers are told

  Scenario: Nodes that the store serves read a new configuration there and pass it on to nobody
    Given a large cell of 12 nodes and 6 shards, whose store takes 100 writes and 500 reads a second
    When 4 seconds pass in the large cell
    And its configuration changes while one node is cut off from the store
    And 4 seconds pass in the large cell
    Then every node of it has the new configuration
    And copies of it were sent to the node that was cut off, and to no other

  Scenario: In a large cell those who are to take over notice a lost holder, and all others hear it
    Given a large cell of 70 nodes and 4 shards, whose store takes 300 writes and 1500 reads a second
    When 5 seconds pass in the large cell
    Then a holder's heartbeats go to its successors each 0.2 seconds, to others each 0.28 seconds
    When a holder of it loses its power
    And 1.6 seconds pass in the large cell
    Then each of its shards has one holder, and 3 nodes at least hold one
    And every node of it is ready
    And the store turned away no write and 0 reads at most

  Scenario: A small node that took the shard over leaves it to a larger one
    Given a cell of 5 nodes, 1 of them large
    When the large node loses its power
    And 3 seconds pass in the large cell
    Then a small node of it holds the shard
    When the large node starts again
    And 5 seconds pass in the large cell, with jobs handed in
    Then the large node of it holds the shard
    And the shard has had 3 holders
    And all of these jobs were accepted

  Scenario: Among nodes of one size the shard stays where it is
    Given a cell of 5 nodes, 0 of them large
    When 8 seconds pass in the large cell
    Then the shard has had 1 holder

  Scenario: In a busy cell what happens close together shares a pass of placement
    Given a cell of 3 nodes, 0 of them large
    When 400 jobs are handed in to it over 1 seconds, and the passes of placement are counted
    Then there were 210 passes at most
    And all of these jobs were accepted
