Feature: A store that answers all nodes, and slowly

  A holder waits 0.2 seconds for an answer as a rule.

  Scenario Outline: A holder stays, because no other node would be served sooner: <slow>
    Given a cluster of 5 nodes whose store takes <slow> seconds an answer
    When jobs are handed in there for 6 seconds
    Then the shard had no more than 1 holder
    And no job of the last 5 seconds was refused

    Examples:
      | slow |
      | 0.19 |
      | 0.26 |
      | 0.42 |

  Scenario Outline: Nodes that are stopped in turn hand the shard on, and it is served in between: <slow>
    Given a cluster of 5 nodes whose store takes <slow> seconds an answer
    When jobs are handed in there for 2 seconds
    And the holder there is stopped as planned
    And jobs are handed in there for 4 seconds
    Then the shard had no more than 2 holders
    And no job of the last 3 seconds was refused
    And every accepted job there was answered within <bound> seconds

    Examples:
      | slow | bound |
      | 0.19 | 1.4   |
      | 0.26 | 1.6   |
      | 0.42 | 2.4   |

  Scenario Outline: Of appends whose answers are lost the callers notice little: <late> s late
    Given a cluster of 5 nodes whose store takes 0 seconds an answer
    And its store loses 0.35 of the answers to appends, and does those <late> seconds later
    When jobs are handed in there for 6 seconds
    Then the shard had no more than 1 holder
    And 85 of 100 jobs there were accepted within 0.2 seconds

    Examples:
      | late |
      | 0    |
      | 2    |

  Scenario Outline: A job waits for one answer of the store, and hardly for those before it: <slow>
    Given a cluster of 5 nodes whose store takes <slow> seconds an answer
    When jobs are handed in there for 6 seconds
    Then the jobs of the last 5 seconds were accepted within <mean> seconds on average

    Examples:
      | slow | mean |
      | 0.10 | 0.13 |
      | 0.21 | 0.26 |
      | 0.42 | 0.52 |

  Scenario: An append that overtakes the one before it is sent again, and the shard is kept
    Given a holder's commits to a store that took 0.2 seconds for its latest answer
    When two appends are on their way
    And the store turns the second one away as out of sequence
    Then the shard is still held
    When the store acknowledges the first one
    Then the second one is sent again

  Scenario: An append that is out of sequence though it was next ends the holding
    Given a holder's commits to a store that took 0.2 seconds for its latest answer
    When two appends are on their way
    And the store acknowledges the first one
    And the second one is sent again, and turned away as out of sequence
    Then the shard is held no more

  Scenario: The answer to a later append vouches for those before it
    Given a holder's commits to a store that took 0.2 seconds for its latest answer
    When two appends are on their way
    And the store acknowledges the second one
    Then the effects of both are had, in their order

  Scenario: What a record says has its effect with its own append, not with the one before it
    Given a holder's commits to a store that took 0.2 seconds for its latest answer
    When two appends are on their way, whose effects come with their records
    And the store acknowledges the first one
    And the store acknowledges the second one
    Then the effects of both are had, in their order
