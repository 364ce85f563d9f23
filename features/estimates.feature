Feature: Task durations are learned by queue, tenant and worker, without a network

  Callers' estimates are wrong by up to 90 percent, depending on the queue, and workers differ in
  speed. Durations are learned from ends and progress of runs in virtual time; workers list ends
  slightly late.

  Scenario Outline: A queue whose tasks take <times> times their estimate gets that factor after some jobs
    Given 8 workers at work
    And work of "letters" takes <times> times its estimate
    When 30 jobs of 4 tasks of "letters" are run, estimated at 4 seconds
    Then a task of "letters" estimated at 4 seconds is expected to take <times> times that
    And every worker has a speed factor of 1

    Examples:
      | times |
      | 0.1   |
      | 0.5   |
      | 1.9   |
      | 3.0   |

  Scenario: A tenant uses its queue's factor until enough of its own jobs were observed
    Given 8 workers at work
    And work of "letters" takes 2 times its estimate
    And for "spring" work of "letters" takes 4 times its estimate
    When 60 jobs of 4 tasks of "letters" are run, estimated at 1 seconds
    And 4 jobs of "spring" with 4 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" for "spring" estimated at 1 seconds is expected to take 2 times that
    When 20 jobs of "spring" with 4 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" for "spring" estimated at 1 seconds is expected to take 4 times that
    And a task of "letters" estimated at 1 seconds is expected to take 2 times that

  Scenario: The expected chain and the objective of a step use the learned factor
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 30 jobs of 4 tasks of "letters" are run, estimated at 2 seconds
    Then a waiting step of "letters" estimated at 2 seconds has a chain of about 6 and an objective of about 13 seconds

  Scenario: Estimates stay unchanged with little evidence
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 6 jobs of 20 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that

  Scenario: The upper quantile equals an exact estimate and grows with the spread of durations
    Given 8 workers at work
    When 30 jobs of 4 tasks of "letters" are run, estimated at 2 seconds
    Then a task of "letters" estimated at 2 seconds is expected to take exactly that
    And its upper quantile is 1 times the estimate
    When 60 jobs of 4 tasks of "letters" are run, every fourth taking 3 times its estimate of 2 seconds
    Then its upper quantile is 3 times the estimate

  Scenario: Very long tasks and failed tasks don't change the factors
    Given 8 workers at work
    And 4 of a hundred tasks take 10 times as long as they should
    And 30 of a hundred tasks fail halfway
    When 100 jobs of 8 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that
    And every worker has a speed factor of 1

  Scenario: A slow worker is detected by tasks of the same step on other workers, without a queue factor
    Given 8 workers at work
    And "w3" takes 2.5 times as long as others
    When 6 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    Then "w3" is expected to take between 1.5 and 2.7 times as long as others
    And every worker but "w3" has a speed factor of 1

  Scenario: A job whose tasks are all slow changes no worker's speed factor
    Given 8 workers at work
    And work of "letters" takes 5 times its estimate
    When 1 job of 16 tasks of "letters" is run, estimated at 2 seconds
    Then every worker has a speed factor of 1

  Scenario: A worker that becomes slow is detected before its current runs end
    Given 4 workers at work
    When a job of 8 tasks estimated at 10 seconds has run for 4 seconds
    And "w1" takes 4 times as long from now on, and 10 seconds more pass
    Then no task on "w1" has ended
    And "w1" is expected to take between 1.25 and 5 times as long as others
    And every worker but "w1" has a speed factor of 1

  Scenario: The progress of gang members identifies the slow worker and no other
    Given 4 workers at work
    And work of "models" takes 1 times its estimate
    And "w2" takes 3 times as long as others
    When 30 gangs of 4 tasks of "models" are run, estimated at 2 seconds
    Then "w2" is expected to take between 1.3 and 3.3 times as long as others
    And every worker but "w2" has a speed factor of 1

  Scenario Outline: Nothing is learned from runs - <case>
    Given 4 workers at work
    And work of "letters" takes 4 times its estimate
    When 40 jobs of 2 tasks of "letters" are run, <case>
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that
    And every worker has a speed factor of 1

    Examples:
      | case                            |
      | resumed                         |
      | started by a previous holder    |
      | with their data in another rack |
      | of long-running tasks           |
      | at a pace of 40 percent         |
      | with an estimate of 0 seconds   |
      | with an estimate of 90 seconds  |
      | during pauses of the holder     |
      | on unreachable workers          |
      | after their jobs were cancelled |
      | as same-rack gangs on two racks |

  Scenario: Differences below the resolution are ignored
    Given 8 workers at work
    When 30 jobs of 4 tasks of "letters" are run, estimated at 0.1 seconds
    Then a task of "letters" estimated at 0.1 seconds is expected to take exactly that

  Scenario: A task with an estimate of 0 is expected to take 0 seconds, whatever was learned
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 30 jobs of 4 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" estimated at 0 seconds is expected to take exactly that
    And work of an unknown queue and worker is expected to take its estimate

  Scenario Outline: An estimate of <amount> milliseconds is <outcome>
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 30 jobs of 4 tasks of "letters" are run, estimated at 1 seconds
    Then a job whose steps are estimated at <amount> milliseconds each is <outcome>

    Examples:
      | amount | outcome             |
      | 0      | taken and ranked    |
      | 9e15   | taken and ranked    |
      | 1e16   | refused with a code |
      | 1e308  | refused with a code |

  Scenario: A worker's new incarnation doesn't inherit the previous one's speed
    Given 8 workers at work
    And "w3" takes 2.5 times as long as others
    When 6 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    And "w3" starts again
    Then every worker has a speed factor of 1

  Scenario: A worker's new incarnation starts with the speed of its kind
    Given 8 workers at work
    And 8 workers of kind "old" that take 2.5 times as long
    When 12 jobs of 48 tasks of "letters" are run, estimated at 1 seconds
    And "old3" starts again
    Then "old3" is expected to take between 1.4 and 2.7 times as long as others

  Scenario: Factors without new observations are dropped
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    And "w3" takes 2.5 times as long as others
    When 20 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    And an hour passes
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that
    And every worker has a speed factor of 1

  Scenario: A queue's model is kept while a tenant's model in that queue is kept
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 20 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    And 59 minutes pass, "acme" submits a job, and 2 minutes more pass
    And 12 jobs of "acme" with 4 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" estimated at 1 seconds is expected to take 3 times that

  Scenario: A successor restores decayed weights, not the original ones
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 30 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    And 50 minutes pass
    And a successor reads the record
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that

  Scenario: A queue's overestimates don't shorten the time until a run counts as stalled
    Given 8 workers at work
    And work of "letters" takes 0.1 times its estimate
    When 30 jobs of 4 tasks of "letters" are run, estimated at 20 seconds
    Then a task of "letters" estimated at 400 seconds is expected to take 0.1 times that
    And a run of it counts as stalled after 81.6 seconds without progress, and not before

  Scenario: A run with a long expected duration may go longer without progress
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 30 jobs of 4 tasks of "letters" are run, estimated at 1 seconds
    Then a run estimated at 400 seconds may be without progress for more than 200 seconds

  Scenario: With learning disabled, nothing is learned, recorded or logged
    Given 8 workers at work, with learning disabled
    And work of "letters" takes 3 times its estimate
    And "w3" takes 2.5 times as long as others
    When 30 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that
    And every worker has a speed factor of 1
    And no record is due, and nothing was logged

  Scenario: Large changes of factors are logged at a limited rate
    Given 30 workers at work
    And work of "letters" takes 3 times its estimate
    And every second worker takes 2.5 times as long as others
    When 40 jobs of 60 tasks of "letters" are run, estimated at 1 seconds
    Then the change of "letters" was logged with its evidence
    And never more than 6 changes were logged at once

  Scenario: A successor starts with the recorded factors
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    And "w3" takes 2.5 times as long as others
    When 30 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    And a successor reads the record
    Then a task of "letters" estimated at 1 seconds is expected to take 3 times that
    And "w3" is expected to take between 1.5 and 2.7 times as long as others
    When "w3" starts again
    Then every worker has a speed factor of 1

  Scenario Outline: A successor ignores a record that is <fault>
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 30 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    And a successor reads the record, which is <fault>
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that
    And the successor has logged once that the record can't be read

    Examples:
      | fault              |
      | cut off            |
      | of another version |
      | garbage            |
      | out of range       |

  Scenario: Memory use and record size stay within their limits
    Given 1000 workers at work
    When jobs of 300 queues and 3000 tenants have ended, and all workers are known
    Then 64 queues and 256 tenants are kept, of at most 1100 bytes each
    And the record has at most 12016 bytes
    And a successor can read it

  Scenario: A cluster's next holder starts with the record of the killed holder
    Given a cluster whose tasks take 3 times their estimate
    When 40 of its jobs have ended
    Then its holder expects 3 times the estimate, and appended at most one record in 5 seconds
    When its holder is killed
    Then its next holder expects 3 times the estimate before any task has ended

  Scenario: With exact estimates and equal workers, learning changes no scheduling decision
    When 60 random workloads with exact estimates are simulated with and without learning
    Then the same tasks started on the same workers at the same times

  Scenario: With learning disabled, scheduling decisions equal those of a scheduler that observes no runs
    When 30 random workloads with wrong estimates are simulated with learning disabled and without runs observed
    Then the same tasks started on the same workers at the same times

  Scenario: Learning halves the forecast error in a busy cell of workers of two speeds
    Given a cell of 60 workers of two speeds and four queues whose estimates are off by up to 0.9
    When 700 jobs are run in it
    Then forecasts are off by less than half as much as callers' estimates, and in no queue by more
