Feature: A job of very many small tasks costs other callers nothing

  # Guards against work at each start that grows with all starts that are under way.
  Scenario: The cost of a start does not grow with the number of starts
    When 2000 starts are recorded as ordered, and answered
    Then each of them was looked at 2 times at most

  Scenario: The cost of an observed run does not grow with the step's observations
    When 100 tasks of a step of 200 tasks end on one worker
    Then each end computed at most 1 baseline

  Scenario: A tick checks a bounded number of runs for stalls, and in turn all of them
    Given 20 workers with 100 runs each
    When the runs are checked for stalls 4 times
    Then each check looked at 500 runs at most
    And every run was looked at once
