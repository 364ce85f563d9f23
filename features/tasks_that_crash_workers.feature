Feature: A job whose task crashes its workers fails

  Guards against one task that crashes worker after worker: a crashed worker reports no end of the
  run, so the attempts must be counted by the holder.

  Background:
    Given a cell of 8 workers that are back 3 seconds after a crash

  Scenario: A task that crashes each worker is started only a few times
    When a job of one task that crashes its workers is submitted
    And 40 seconds pass in that cell
    Then the cluster has broken nothing
    And the job that crashes workers is reported as failed

  Scenario: Crashes of workers at the time of their holder's crash are counted
    When a job of one task that crashes its workers is submitted
    And the holder is killed after each worker crash, and 60 seconds pass
    Then the cluster has broken nothing
    And the job that crashes workers is reported as failed

  Scenario: A long-running task that crashes each worker is started only a few times
    When a job of one long-running task that crashes its workers is submitted
    And 40 seconds pass in that cell
    Then the cluster has broken nothing
    And the job that crashes workers is reported as failed

  Scenario Outline: The count of crashes survives a change of holder - with <mechanism> disabled
    Given that cell with "<mechanism>" disabled
    And that cell, whose holder is killed <seconds> seconds after each worker crash
    When a job of one task that crashes its workers is submitted
    And 60 seconds pass in that cell
    Then the cluster has broken <what>

    Examples:
      | mechanism                                | seconds | what      |
      | nothing                                  | 3.4     | nothing   |
      | the record of crashes                    | 3.4     | "crashes" |
      | nothing                                  | 0.001   | nothing   |
      | crashes that a former holder did not see | 0.001   | "crashes" |
      | the count of crashes                     | 3.4     | "crashes" |

  Scenario: Orders to workers that are already down do not fail a job
    When a job of one task is submitted, and its worker crashes just before its start arrives, 3 times
    And 30 seconds pass in that cell
    Then 1 of the 1 jobs are shown as completed

  Scenario: A job fails if one member of its gang crashes its workers
    When a job of a gang of 6 tasks of which one crashes its workers is submitted
    And 40 seconds pass in that cell
    Then the cluster has broken nothing
    And the job that crashes workers is reported as failed

  Scenario: A job fails if its task crashes its workers some time after the start
    Given that cell, where tasks crash their workers 0.8 seconds after they start
    When a job of one task that crashes its workers is submitted
    And 40 seconds pass in that cell
    Then the cluster has broken nothing
    And the job that crashes workers is reported as failed

  Scenario: Tasks that started beside one that crashes its workers complete
    When 5 jobs of one task each and one that crashes its workers are submitted
    And 40 seconds pass in that cell
    Then 5 of the 5 jobs are shown as completed
    And the job that crashes workers is reported as failed

  Scenario Outline: A step of 25 tasks that all crash workers takes few workers down
    Given that cell with "<mechanism>" disabled
    When a job of 25 tasks that all crash their workers is submitted, with at most 2 on a worker
    And 40 seconds pass in that cell
    Then the job that crashes workers is reported as failed
    And between 8 and <workers> workers went down

    Examples:
      | mechanism        | workers |
      | nothing          | 17      |
      | a trial of steps | 24      |

  Scenario: A step of 8 tasks that all crash workers, and fit on one, takes at most two workers down
    When a job of 8 tasks that all crash their workers is submitted, with at most 8 on a worker
    And 40 seconds pass in that cell
    Then the job that crashes workers is reported as failed
    And at most 2 workers went down

  Scenario: Jobs complete on workers that crash twice for another reason than their tasks
    When 24 jobs of one task each are handed in
    And every worker that has runs crashes after 0.4 seconds, twice
    And 30 seconds pass in that cell
    Then 24 of the 24 jobs are shown as completed

  Scenario Outline: Whether a worker has crashed, was partitioned or has left: <case>
    Given a worker that was <listing> when it last answered, and is <now listed>
    When its incarnation counts as ended because <reason>
    Then it <outcome>

    Examples:
      | case                         | listing  | now listed | reason                       | outcome         |
      | a crash                      | ready    | ready      | another incarnation answers  | has crashed     |
      | a crash that is noticed late | ready    | gone       | its lease has expired        | has crashed     |
      | a network partition          | ready    | ready      | its lease has expired        | was partitioned |
      | a planned exit               | draining | gone       | another incarnation answers  | has left        |
      | a planned exit listed late   | ready    | draining   | another incarnation answers  | has left        |
      | an exit without draining     | gone     | gone       | another incarnation answers  | has left        |
      | expiry of a draining worker  | draining | draining   | its lease has expired        | has left        |

  Scenario Outline: Which runs are blamed for the crash of their worker: <case>
    Given a worker that last answered at second 100
    And runs on it that were ordered at seconds <ordered>
    And <kind> tasks
    When the worker counts as crashed at second 103
    Then the blame of its runs is <blame>

    Examples:
      | case                           | ordered      | kind         | blame                   |
      | only one run, just started     | 99.99        | finite       | alone                   |
      | two jobs just started          | 99.7, 99.99  | finite       | recent, recent          |
      | one of two jobs just started   | 95, 99.99    | finite       | present, alone          |
      | an unanswered start            | 95, 100.2    | finite       | present, doubted        |
      | a start, and an unanswered one | 99.9, 100.2  | finite       | recent, doubted         |
      | no run just started            | 95, 96       | finite       | present, present        |
      | a long-running task            | 60, 99.99    | long-running | none, alone             |
      | a finite task that takes long  | 60, 99.99    | finite       | present, alone          |

  Scenario: Crashing tasks, changing capacities and damaged entries violate no invariant
    When jobs are played over seeds 1 to 12 with crashes and changing workers
    Then nothing that must hold is broken

  Scenario Outline: A schedule with crashes that once violated an invariant passes: <seed>
    When jobs are played over seeds <seed> to <seed> with crashes and changing workers
    Then nothing that must hold is broken

    Examples: orders to workers that were already down counted as runs, and failed their jobs
      | seed |
      | 1103 |
      | 1135 |
