Feature: A job of very many small tasks costs other callers nothing

  # Guards against a large job whose starts were all ordered at once: most were given up unsent, planned
  # again and given up again, and the other jobs' starts waited behind them.
  Scenario Outline: A job of <tasks> tasks starts beside ordinary jobs
    Given a cell of 24 large workers, each of which takes 8 orders at a time
    When a job of <tasks> small tasks is handed in, and 4 ordinary jobs a second beside it
    Then the ordinary jobs were accepted within 0.2 seconds, and each started within 0.2 seconds more
    And no start was given up unsent
    And no worker had more than 16 starts to answer
    And no turn of the holder's loop ordered more than 64 starts
    And the large job has started all its tasks within <seconds> seconds
    And the cell of large workers has broken nothing

    Examples:
      | tasks | seconds |
      | 1     | 0.2     |
      | 100   | 0.2     |
      | 1000  | 2       |
      | 10000 | 20      |

  Scenario: Large jobs of several callers start beside each other
    Given a cell of 24 large workers, each of which takes 8 orders at a time
    When 3 jobs of 1500 small tasks are handed in together
    And 2 seconds pass in the cell of large workers
    Then each of them has started at least 400 tasks, or all
    And no start was given up unsent

  # Guards against gangs that can never start, because no worker takes that many orders at once.
  Scenario: A gang of 600 tasks starts
    Given a cell of 24 large workers, each of which takes 8 orders at a time
    When a gang of 600 small tasks is handed in
    And 3 seconds pass in the cell of large workers
    Then the gang runs with all its members
    And no start was given up unsent

  # Guards against work at each start that grows with all starts that are under way.
  Scenario: The cost of a start does not grow with the number of starts
    When 2000 starts are recorded as ordered, and answered
    Then each of them was looked at 2 times at most
    When 2000 recorded starts are ordered together
    Then no two of them were compared

  Scenario: The cost of an observed run does not grow with the step's observations
    When 100 tasks of a step of 200 tasks end on one worker
    Then each end computed at most 1 baseline

  Scenario: A tick checks a bounded number of runs for stalls, and in turn all of them
    Given 20 workers with 100 runs each
    When the runs are checked for stalls 4 times
    Then each check looked at 500 runs at most
    And every run was looked at once

  # A stalled loop could be told from other causes of a lost shard only by guessing.
  Scenario: The log and the metrics tell of a turn of the loop that takes long
    Given a watch of the event loop
    When ticks come 0, 0.05, 0.35, 0.25 and 0.01 seconds late, one every 0.4 seconds
    Then the log tells of delays of 0.350 and 0.250 seconds
    And the metrics count 6 ticks, 2 of them over 0.1 seconds late
