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

  # The record of a job that had ended told nothing of its runs that were not over, so that the next
  # holder did not know of them.
  Scenario Outline: Runs of jobs that were cancelled under an earlier holder still count: <changes>
    Given a cluster of tenants with 6 workers
    And two jobs of a tenant with a quota of two workers are at work
    When <changes>
    And two more jobs of that tenant are submitted, and 3 seconds pass
    Then neither of them has started
    And a job of another tenant begins
    When 8 seconds pass in that cluster of tenants
    Then both of them have started
    And the cluster has broken nothing

    Examples:
      | changes                                                                            |
      | their workers are cut off, both jobs are cancelled, the holder dies                |
      | their workers are cut off, both jobs are cancelled, the holder dies, the holder dies |
      | their workers are cut off, the holder dies, both jobs are cancelled, the holder dies |

  Scenario: A run of a job that was cancelled under an earlier holder counts until it has been stopped
    Given a cluster of tenants with 6 workers
    And two jobs of a tenant with a quota of two workers are at work
    When their workers are cut off, both jobs are cancelled, the holder dies
    And two more jobs of that tenant are submitted, and 1 seconds pass
    And the workers can be reached again
    And 1 seconds pass in that cluster of tenants
    Then both of them have started
    And the cluster has broken nothing

  Scenario: Once the runs of a cancelled job are over, its record tells of none
    Given a cluster of tenants with 6 workers
    And two jobs of a tenant with a quota of two workers are at work
    When both jobs are cancelled
    Then the records of both tell of no runs that are left
    When their workers are cut off, the holder dies
    And two more jobs of that tenant are submitted, and 1 seconds pass
    Then both of them have started
    And the cluster has broken nothing

  Scenario: Records of ended jobs that tell nothing of their runs, and those that do, are read
    Given the record of a cancelled job as builds write it that tell nothing of its runs
    Then this build reads it, and knows of no runs that are left
    Given the record of a cancelled job whose runs are left on a worker
    Then a build that tells nothing of its runs reads it
