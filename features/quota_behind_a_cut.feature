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
