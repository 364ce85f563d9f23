Feature: A task that crashes its workers is given up

  Users saw 24 workers go down one after the other, each 10 ms after it had started one and the same
  task, a worker each 3.4 s and later each 1.7 s, for as long as the day lasted; one class's requests
  were not served for seconds, because up to 8 runs of other jobs went down with each worker.
  Order of events: the task's start is answered, the worker's connections are reset, 3.4 s later
  another life answers at its address, what ran there is abandoned, and the task goes to the next
  worker within 22 ms. Cause: attempts were counted only by ends that workers report, and a worker that
  is gone reports none. Evidence: the log of one holder, which ordered seven starts of the task in a
  row, each one acknowledged (`run_abandoned state=running`), with no end of it listed anywhere.

  Background:
    Given a cell of 8 workers that are back 3 seconds after a crash

  Scenario: A task that crashes each worker is started a few times only
    When a job of one task that crashes its workers is handed in
    And 40 seconds pass in that cell
    Then the cluster has broken nothing
    And the job that crashes workers is shown as failed

  Scenario: Workers that crash while their holder dies are counted, too
    When a job of one task that crashes its workers is handed in
    And the holder dies at each crash, for 60 seconds
    Then the cluster has broken nothing
    And the job that crashes workers is shown as failed

  Scenario: A lasting task that crashes each worker is started a few times only
    When a job of one lasting task that crashes its workers is handed in
    And 40 seconds pass in that cell
    Then the cluster has broken nothing
    And the job that crashes workers is shown as failed

  Scenario Outline: The count of crashes outlives its holder - <mechanism>
    Given that cell without "<mechanism>"
    And that cell, whose holder dies <seconds> seconds after each crash
    When a job of one task that crashes its workers is handed in
    And 60 seconds pass in that cell
    Then the cluster has broken <what>

    Examples:
      | mechanism                                | seconds | what      |
      | nothing                                  | 3.4     | nothing   |
      | the record of crashes                    | 3.4     | "crashes" |
      | nothing                                  | 0.001   | nothing   |
      | crashes that a former holder did not see | 0.001   | "crashes" |
      | the count of crashes                     | 3.4     | "crashes" |

  Scenario: Orders to workers that were down already end no job
    When a job of one task is handed in whose workers crash just before its start arrives, 3 times
    And 30 seconds pass in that cell
    Then 1 of the 1 jobs are shown as completed

  Scenario: A gang of which one member crashes its workers is given up
    When a job of a gang of 6 of which one member crashes its workers is handed in
    And 40 seconds pass in that cell
    Then the cluster has broken nothing
    And the job that crashes workers is shown as failed

  Scenario: A task that crashes its workers late is given up
    Given that cell, whose tasks crash their workers 0.8 seconds after the start
    When a job of one task that crashes its workers is handed in
    And 40 seconds pass in that cell
    Then the cluster has broken nothing
    And the job that crashes workers is shown as failed

  Scenario: Tasks that began beside one that crashes its workers are done
    When 5 jobs of one task each are handed in together with one that crashes its workers
    And 40 seconds pass in that cell
    Then 5 of the 5 jobs are shown as completed
    And the job that crashes workers is shown as failed

  Scenario Outline: A step of 25 tasks that all crash workers takes few of them down
    Given that cell without "<mechanism>"
    When a job of 25 tasks that all crash their workers is handed in, 2 on a worker at most
    And 40 seconds pass in that cell
    Then the job that crashes workers is shown as failed
    And between 8 and <workers> workers went down

    Examples:
      | mechanism        | workers |
      | nothing          | 17      |
      | a trial of steps | 24      |

  Scenario: A step of 8 tasks that all crash workers, and fit on one, takes two of them down
    When a job of 8 tasks that all crash their workers is handed in, 8 on a worker at most
    And 40 seconds pass in that cell
    Then the job that crashes workers is shown as failed
    And at most 2 workers went down

  Scenario: Jobs on workers that crash twice by themselves are done
    When 24 jobs of one task each are handed in
    And every worker that runs something crashes after 0.4 seconds, twice
    And 30 seconds pass in that cell
    Then 24 of the 24 jobs are shown as completed

  Scenario Outline: What is concluded from the end of a worker's life: <case>
    Given a worker that was <listing> when it was last heard of, and is <now listed>
    When its life is taken for over because <sign>
    Then it <outcome>

    Examples:
      | case                    | listing  | now listed | sign                 | outcome     |
      | a crash                 | ready    | ready      | another life answers | has crashed |
      | a crash, seen late      | ready    | gone       | its lease is over    | has crashed |
      | the way there is cut    | ready    | ready      | its lease is over    | was cut off |
      | a planned end           | draining | gone       | another life answers | has left    |
      | one told late           | ready    | draining   | another life answers | has left    |
      | an end without a notice | gone     | gone       | another life answers | has left    |
      | a lease of one leaving  | draining | draining   | its lease is over    | has left    |

  Scenario Outline: Which runs of a worker that crashed are blamed: <case>
    Given a worker that was last heard of at second 100
    And runs on it that were ordered at <ordered>
    And <kind> tasks
    When the worker is taken for crashed at second 103
    Then the blame of its runs is <blame>

    Examples:
      | case                           | ordered      | kind    | blame                   |
      | it alone had just begun        | 99.99        | finite  | alone                   |
      | it and another job             | 99.7, 99.99  | finite  | recent, recent          |
      | others had been there          | 95, 99.99    | finite  | present, alone          |
      | one without an answer          | 95, 100.2    | finite  | present, doubted        |
      | one with and one without       | 99.9, 100.2  | finite  | recent, doubted         |
      | nobody had just begun          | 95, 96       | finite  | present, present        |
      | a lasting task at work         | 60, 99.99    | lasting | none, alone             |
      | a finite task at work for long | 60, 99.99    | finite  | present, alone          |

  Scenario: Schedules with tasks that crash workers, changing rooms and damaged entries break nothing
    When jobs are played over seeds 1 to 12 with crashes and changing workers
    Then nothing that must hold is broken

  Scenario Outline: A schedule with crashes that once broke something holds: <seed>
    When jobs are played over seeds <seed> to <seed> with crashes and changing workers
    Then nothing that must hold is broken

    Examples: orders to workers that were down already counted as runs, and ended their jobs
      | seed |
      | 1103 |
      | 1135 |
