Feature: A cell is divided into shards, each with one holder

  Scenario: A seat that is started again holds its shard on
    Given a cell of three shards that are all held
    When every seat of every node is started again
    And 1 seconds pass in that cell
    Then each shard has the holder and the token that it had

  Scenario Outline: A schedule that once never ended is played to its end: <seed>
    When jobs are played over seed <seed> in 3 shards, with crashes and changing workers
    Then nothing that must hold is broken

    Examples: a node told of the layout before its service began claimed a shard from itself
      | seed |
      | 2198 |

  Scenario Outline: A new cell gets as many shards as its size wants
    Given <workers> workers in racks of 12 over 3 rows
    When the cell is laid out with 240 workers a shard and <most> shards at most
    Then it has <shards> shards
    And no shard has less than half of an even part of the workers
    And the workers of a rack share a shard

    Examples:
      | workers | most | shards |
      | 0       | 24   | 1      |
      | 24      | 24   | 1      |
      | 240     | 24   | 1      |
      | 350     | 24   | 2      |
      | 3000    | 24   | 13     |
      | 15000   | 24   | 24     |
      | 15000   | 300  | 63     |

  Scenario: A cell of few racks gets no shard without workers
    Given 400 workers in racks of 200 over 1 rows
    When the cell is laid out with 50 workers a shard and 24 shards at most
    Then it has 2 shards
    And no shard has less than half of an even part of the workers

  Scenario: Jobs go round the shards evenly
    Given 3000 workers in racks of 12 over 3 rows
    When the cell is laid out with 240 workers a shard and 24 shards at most
    Then of 13000 jobs each shard gets between 900 and 1100

  Scenario: Every node learns the layout, and it outlives all of them
    Given a cluster of three shards
    Then every node knows 3 shards
    When all its nodes are killed and start again
    Then every node knows 3 shards

  Scenario: Several nodes share the shards of a new cell
    Given a cluster of three shards
    Then each shard has one holder, and 2 nodes at least hold one

  Scenario: Jobs that wait are counted over all shards
    Given a cluster of three shards
    And no worker of it can be reached
    When 12 jobs are handed in there
    Then 12 jobs wait, whichever node is asked

  Scenario: A node that does not know the layout takes no job
    Given a cluster of three shards
    When a node that does not know the layout is asked to take a job
    Then it refuses, and says when to come back

  Scenario: The loss of one shard's holder leaves the others in service
    Given a cluster of three shards
    When the holder of one of them loses its power
    And 0.3 seconds pass there
    Then the other nodes are ready

  Scenario: Schedules of faults break nothing in a cell of three shards
    When jobs are played over seeds 1 to 25 with drawn faults, in three shards
    Then nothing that must hold is broken

  Scenario: Successors are the larger nodes, in another order for each shard
    Given 20 small nodes and 6 large ones that could take over
    Then the successors in each of 12 shards are 8, the large ones first
    And at least 4 nodes come first in some shard

  Scenario: In a large cell followers send their heartbeats less often, and are not taken for silent
    Given a follower in a cell of 300 nodes
    Then it sends a heartbeat each 1.2 seconds
    And its stream is ended after 4.8 seconds of silence
