Feature: A new holder counts what earlier holders may have running towards tenants' quotas

  A run that earlier holders started counts until its worker lists its end or until every lease that
  any of them may have granted there is over, whatever has become of its job.

  # A tenant went over its quota, and no line told what its new holder took for in use.
  Scenario: The log tells how much of a quota a new holder holds back, and for how long
    Given a cluster of tenants with 6 workers, whose log is kept
    And two jobs of a tenant with a quota of two workers are at work
    When the holder is killed, and its successor cannot reach the workers that run them
    Then the log tells last that 32000 of the 32000 of "small" are in doubt, for 11 seconds at most
    When 11 seconds pass in that cluster of tenants
    Then the log tells last that 0 of the 32000 of "small" are in doubt, for 0 seconds at most

  # The holder forgot what a job's tasks might use as soon as their job had ended, though their worker
  # could not be reached, and went on with them.
  Scenario: Jobs that are cancelled while their workers are cut off still count
    Given a cluster of tenants with 6 workers
    And two jobs of a tenant with a quota of two workers are at work
    When the holder is killed, and its successor cannot reach the workers that run them
    And both jobs are cancelled
    And two more jobs of that tenant are submitted, and 3 seconds pass
    Then neither of them has started
    And a job of another tenant begins
    When 8 seconds pass in that cluster of tenants
    Then both of them have started
    And the cluster has broken nothing

  Scenario: A run of a cancelled job counts until it has been stopped, once its worker is back
    Given a cluster of tenants with 6 workers
    And two jobs of a tenant with a quota of two workers are at work
    When the holder is killed, and its successor cannot reach the workers that run them
    And both jobs are cancelled
    And two more jobs of that tenant are submitted, and 1 seconds pass
    And the workers can be reached again
    And 1 seconds pass in that cluster of tenants
    Then both of them have started
    And the cluster has broken nothing
