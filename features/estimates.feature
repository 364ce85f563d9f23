Feature: How long work takes is learned, by queue, tenant and worker, without a network

  Callers' estimates are off by up to nine tenths of their size, by kind of request, and workers are
  unlike. What ends and what progresses tells, in virtual time, with ends listed a little late.

  Scenario Outline: A queue whose work takes <times> times its estimate is known after some jobs
    Given 8 workers at work
    And work of "letters" takes <times> times its estimate
    When 30 jobs of 4 tasks of "letters" are run, estimated at 4 seconds
    Then a task of "letters" estimated at 4 seconds is expected to take <times> times that
    And every worker counts as usual

    Examples:
      | times |
      | 0.1   |
      | 0.5   |
      | 1.9   |
      | 3.0   |

  Scenario: A tenant's factor is its queue's until enough is known of it
    Given 8 workers at work
    And work of "letters" takes 2 times its estimate
    And for "spring" work of "letters" takes 4 times its estimate
    When 60 jobs of 4 tasks of "letters" are run, estimated at 1 seconds
    And 4 jobs of "spring" with 4 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" for "spring" estimated at 1 seconds is expected to take 2 times that
    When 20 jobs of "spring" with 4 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" for "spring" estimated at 1 seconds is expected to take 4 times that
    And a task of "letters" estimated at 1 seconds is expected to take 2 times that

  Scenario: Order and objective follow the real work
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 30 jobs of 4 tasks of "letters" are run, estimated at 2 seconds
    Then a waiting step of "letters" estimated at 2 seconds has a chain of about 6 and an objective of about 13 seconds

  Scenario: Little evidence changes nothing
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 6 jobs of 20 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that

  Scenario: Where estimates hold an upper quantile is the estimate too, and a spread is told apart
    Given 8 workers at work
    When 30 jobs of 4 tasks of "letters" are run, estimated at 2 seconds
    Then a task of "letters" estimated at 2 seconds is expected to take exactly that
    And its upper quantile is 1 times the estimate
    When 60 jobs of 4 tasks of "letters" are run, every fourth taking 3 times its estimate of 2 seconds
    Then its upper quantile is 3 times the estimate

  Scenario: Tails and failures don't bend the factors
    Given 8 workers at work
    And 4 of a hundred tasks take 10 times as long as they should
    And 30 of a hundred tasks fail halfway
    When 100 jobs of 8 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that
    And every worker counts as usual

  Scenario: A slow worker is told by its tasks' siblings elsewhere, though nothing is known of the queue
    Given 8 workers at work
    And "w3" takes 2.5 times as long as others
    When 6 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    Then "w3" is expected to take between 1.5 and 2.7 times as long as others
    And every worker but "w3" counts as usual

  Scenario: A job whose tasks are all slow makes no worker slow
    Given 8 workers at work
    And work of "letters" takes 5 times its estimate
    When 1 job of 16 tasks of "letters" is run, estimated at 2 seconds
    Then every worker counts as usual

  Scenario: A worker that turns slow is seen within the runs that it has
    Given 4 workers at work
    When a job of 8 tasks estimated at 10 seconds has run for 4 seconds
    And "w1" takes 4 times as long from now on, and 10 seconds more pass
    Then no task on "w1" has ended
    And "w1" is expected to take between 1.25 and 5 times as long as others
    And every worker but "w1" counts as usual

  Scenario: The slowest member of a gang is known by its progress, and only it
    Given 4 workers at work
    And work of "models" takes 1 times its estimate
    And "w2" takes 3 times as long as others
    When 30 gangs of 4 tasks of "models" are run, estimated at 2 seconds
    Then "w2" is expected to take between 1.3 and 3.3 times as long as others
    And every worker but "w2" counts as usual

  Scenario Outline: What tells nothing - <case>
    Given 4 workers at work
    And work of "letters" takes 4 times its estimate
    When 40 jobs of 2 tasks of "letters" are run, <case>
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that
    And every worker counts as usual

    Examples:
      | case                            |
      | resumed                         |
      | started by a former holder      |
      | with their data in another rack |
      | of tasks that last              |
      | at a pace of 40 percent         |
      | with an estimate of 0 seconds   |
      | with an estimate of 90 seconds  |
      | beside a pause of the holder    |
      | on workers out of reach         |
      | after their jobs were cancelled |
      | over racks as gangs of one      |

  Scenario: Differences below the resolution are none
    Given 8 workers at work
    When 30 jobs of 4 tasks of "letters" are run, estimated at 0.1 seconds
    Then a task of "letters" estimated at 0.1 seconds is expected to take exactly that

  Scenario: Work that is estimated at nothing is expected to take nothing, whatever is known
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 30 jobs of 4 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" estimated at 0 seconds is expected to take exactly that
    And work of a queue and worker that nobody knows is expected to take its estimate

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

  Scenario: Another life is not taken for the former one
    Given 8 workers at work
    And "w3" takes 2.5 times as long as others
    When 6 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    And "w3" starts again
    Then every worker counts as usual

  Scenario: A life begins with the speed of its kind
    Given 8 workers at work
    And 8 workers of kind "old" that take 2.5 times as long
    When 12 jobs of 48 tasks of "letters" are run, estimated at 1 seconds
    And "old3" starts again
    Then "old3" is expected to take between 1.4 and 2.7 times as long as others

  Scenario: What is not seen any more is forgotten
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    And "w3" takes 2.5 times as long as others
    When 20 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    And an hour passes
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that
    And every worker counts as usual

  Scenario: A queue is remembered for as long as a tenant's work in it, which tells of it as well
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 20 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    And 59 minutes pass, "acme" hands in a job, and 2 minutes more pass
    And 12 jobs of "acme" with 4 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" estimated at 1 seconds is expected to take 3 times that

  Scenario: What has decayed is not fresh for a successor
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 30 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    And 50 minutes pass
    And a successor reads the record
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that

  Scenario: A run is not taken for stalled because its queue's estimates are too high
    Given 8 workers at work
    And work of "letters" takes 0.1 times its estimate
    When 30 jobs of 4 tasks of "letters" are run, estimated at 20 seconds
    Then a task of "letters" estimated at 400 seconds is expected to take 0.1 times that
    And a run of it stands still after 81.6 seconds without progress, and not before

  Scenario: A run that is expected to take long may be longer without progress
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 30 jobs of 4 tasks of "letters" are run, estimated at 1 seconds
    Then a run estimated at 400 seconds may be without progress for more than 200 seconds

  Scenario: Without the part nothing is learned, recorded or told
    Given 8 workers at work, and nothing is to be learned
    And work of "letters" takes 3 times its estimate
    And "w3" takes 2.5 times as long as others
    When 30 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that
    And every worker counts as usual
    And nothing is to be recorded, and nothing was told

  Scenario: What changed much is told, at a bounded rate
    Given 30 workers at work
    And work of "letters" takes 3 times its estimate
    And every second worker takes 2.5 times as long as others
    When 40 jobs of 60 tasks of "letters" are run, estimated at 1 seconds
    Then the change of "letters" was told with what it rests on
    And never more than 6 changes were told at once

  Scenario: A successor begins with what was known
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    And "w3" takes 2.5 times as long as others
    When 30 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    And a successor reads the record
    Then a task of "letters" estimated at 1 seconds is expected to take 3 times that
    And "w3" is expected to take between 1.5 and 2.7 times as long as others
    When "w3" starts again
    Then every worker counts as usual

  Scenario Outline: A record that is <fault> is no knowledge
    Given 8 workers at work
    And work of "letters" takes 3 times its estimate
    When 30 jobs of 16 tasks of "letters" are run, estimated at 1 seconds
    And a successor reads the record, which is <fault>
    Then a task of "letters" estimated at 1 seconds is expected to take exactly that
    And the successor has told once that the record can't be read

    Examples:
      | fault              |
      | cut off            |
      | of another version |
      | garbage            |
      | out of range       |

  Scenario: Memory and record stay within their bounds
    Given 1000 workers at work
    When jobs of 300 queues and 3000 tenants have ended, and all workers are known
    Then 64 queues and 256 tenants are remembered, of at most 1100 bytes each
    And the record has at most 12016 bytes
    And a successor can read it

  Scenario: A cluster's next holder begins with the record of the one that was killed
    Given a cluster whose tasks take 3 times their estimate
    When 40 of its jobs have ended
    Then its holder expects 3 times the estimate, and appended at most one record in 5 seconds
    When its holder is killed
    Then its next holder expects 3 times the estimate before any task has ended

  Scenario: Where estimates hold and workers are alike decisions are those of today
    When 60 random histories of sound work are played with learning and without
    Then the same tasks started on the same workers at the same times

  Scenario: Without the part decisions are those of today whatever differs
    When 30 random histories of unlike work are played with the part off and without learning
    Then the same tasks started on the same workers at the same times

  Scenario: How far forecasts are off in a busy cell of unlike workers, before and after
    Given a cell of 60 unlike workers and four queues whose estimates are off by up to 0.9
    When 700 jobs are run in it
    Then forecasts are off by less than half as much as callers' estimates, and in no queue by more
