Feature: A store that is slow for all nodes

  A holder normally waits 0.2 seconds for the store's answer.

  Scenario Outline: A holder keeps its shard, because the store is as slow for other nodes: <slow>
    Given a cluster of 5 nodes whose store takes <slow> seconds an answer
    When jobs are handed in there for 6 seconds
    Then the shard had at most 1 holder
    And no job of the last 5 seconds was refused

    Examples:
      | slow |
      | 0.19 |
      | 0.26 |
      | 0.42 |

  Scenario Outline: A planned stop hands the shard over, and jobs are accepted meanwhile: <slow>
    Given a cluster of 5 nodes whose store takes <slow> seconds an answer
    When jobs are handed in there for 2 seconds
    And a planned stop of the cluster's holder begins
    And jobs are handed in there for 4 seconds
    Then the shard had at most 2 holders
    And no job of the last 3 seconds was refused
    And every accepted job there was answered within <bound> seconds

    Examples:
      | slow | bound |
      | 0.19 | 1.4   |
      | 0.26 | 1.6   |
      | 0.42 | 2.4   |

  Scenario Outline: Lost answers to appends delay few submissions: <late> s late
    Given a cluster of 5 nodes whose store takes 0 seconds an answer
    And its store loses the answers to 0.35 of the appends, and carries these out <late> seconds late
    When jobs are handed in there for 6 seconds
    Then the shard had at most 1 holder
    And at least 85 percent of the submitted jobs were accepted within 0.2 seconds

    Examples:
      | late |
      | 0    |
      | 2    |

  Scenario Outline: Pipelined appends accept a job after about one answer of the store: <slow>
    Given a cluster of 5 nodes whose store takes <slow> seconds an answer
    When jobs are handed in there for 6 seconds
    Then the jobs of the last 5 seconds were accepted within <mean> seconds on average

    Examples:
      | slow | mean |
      | 0.10 | 0.13 |
      | 0.21 | 0.26 |
      | 0.42 | 0.52 |

  Scenario: An append that overtakes the previous append is sent again, and the shard is kept
    Given a commit queue whose latest call to the store took 0.2 seconds
    When the queue sends two appends
    And the store rejects the second append as out of sequence
    Then the queue reports that the shard is still held
    When the store acknowledges the first append
    Then the second append is sent again

  Scenario: The shard is lost if the next expected append is rejected as out of sequence
    Given a commit queue whose latest call to the store took 0.2 seconds
    When the queue sends two appends
    And the store acknowledges the first append
    And the second append is sent again and rejected as out of sequence
    Then the queue reports that the shard is lost

  Scenario: The answer to an append also acknowledges all earlier appends
    Given a commit queue whose latest call to the store took 0.2 seconds
    When the queue sends two appends
    And the store acknowledges the second append
    Then the effects of both appends have run in order

  Scenario: The effect of a record runs with its own append, not with the previous append
    Given a commit queue whose latest call to the store took 0.2 seconds
    When the queue sends two appends whose effects are registered while records are collected
    And the store acknowledges the first append
    And the store acknowledges the second append
    Then the effects of both appends have run in order
