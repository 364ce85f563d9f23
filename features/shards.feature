Feature: Each shard of a cell has one holder

  Scenario: A shard participant that is restarted still holds its shard
    Given a cell in which each of three shards has a holder
    When every shard participant of every node is restarted
    And 1 seconds pass in that cell
    Then each shard has the same holder and token as before

  Scenario Outline: A fault schedule that used to run forever finishes: <seed>
    When jobs are simulated in 3 shards for seed <seed>, with crashes and changing workers
    Then nothing that must hold is broken

    Examples: a node that learned the layout before its service started claimed a shard from itself
      | seed |
      | 2198 |

  Scenario Outline: The number of shards of a new cell follows from its number of workers
    Given <workers> workers in racks of 12 over 3 rows
    When the layout is planned for 240 workers per shard and at most <most> shards
    Then the layout has <shards> shards
    And each shard has at least half of the average number of workers per shard
    And all workers of a rack belong to one shard

    Examples:
      | workers | most | shards |
      | 0       | 24   | 1      |
      | 24      | 24   | 1      |
      | 240     | 24   | 1      |
      | 350     | 24   | 2      |
      | 3000    | 24   | 13     |
      | 15000   | 24   | 24     |
      | 15000   | 300  | 63     |

  Scenario: A cell with few racks has no shard without workers
    Given 400 workers in racks of 200 over 1 rows
    When the layout is planned for 50 workers per shard and at most 24 shards
    Then the layout has 2 shards
    And each shard has at least half of the average number of workers per shard

  Scenario: Jobs are distributed evenly over the shards
    Given 3000 workers in racks of 12 over 3 rows
    When the layout is planned for 240 workers per shard and at most 24 shards
    Then each shard gets between 900 and 1100 of 13000 jobs

  Scenario: Every node learns the layout, and the layout survives a restart of all nodes
    Given a cluster of three shards
    Then every node has a layout of 3 shards
    When all nodes of the cluster are killed and restarted
    Then every node has a layout of 3 shards

  Scenario: Several nodes hold the shards of a new cell
    Given a cluster of three shards
    Then each shard has one holder, and at least 2 nodes hold a shard

  Scenario: The number of waiting jobs covers all shards
    Given a cluster of three shards
    And no node can reach a worker
    When 12 jobs are submitted to one node
    Then every node reports 12 waiting jobs

  Scenario: A node that does not know the layout accepts no job
    Given a cluster of three shards
    When a job is submitted to a node that does not know the layout
    Then the node is not ready, and refuses the job with a retry time

  Scenario: The other nodes stay ready after the loss of one shard's holder
    Given a cluster of three shards
    When a node that holds one shard loses power
    And 0.3 seconds pass for the other nodes
    Then the other nodes are ready

  Scenario: Random faults violate no invariant in a cell of three shards
    When jobs are simulated in three shards with random faults, for seeds 1 to 25
    Then nothing that must hold is broken

  Scenario: The successors are listed by decreasing weight, and several nodes come first for some shard
    Given 20 small and 6 large candidate successors
    Then each of 12 shards has 8 successors, in order of decreasing weight
    And at least 4 different nodes are the first successor of some shard

  Scenario: Followers in a large cell send fewer heartbeats, and their connections stay open
    Given a follower in a cell of 300 nodes
    Then it sends a heartbeat every 1.2 seconds
    And its peers close the connection after 4.8 seconds of silence
