Feature: The capacity of a worker shrinks and grows while it runs

  A worker may report another capacity at any time. These scenarios guard against free capacity that
  is derived from an outdated capacity: too many runs would be started after a worker shrinks, and
  added capacity would never be used.

  Scenario: No run is started beyond the capacity of a worker that has shrunk
    Given a cell of 2 workers of 16 cores whose tasks take 1 second
    When 60 tasks of 2 cores are handed in
    And 0.5 seconds pass in that cell
    And both workers shrink to 6 cores
    And 25 seconds pass in that cell
    Then the cluster has broken nothing
    And 60 of the 60 jobs are shown as completed

  Scenario: The added capacity of a worker that has grown is used
    Given a cell of 2 workers of 2 cores whose tasks take 1 second
    When 4 tasks of 4 cores are handed in
    And 2 seconds pass in that cell
    And both workers grow to 8 cores
    And 2 seconds pass in that cell
    Then the cluster has broken nothing
    And 4 of the 4 jobs are shown as completed

  Scenario: A start is not ordered if the worker shrinks while the start is being recorded
    Given a cell of 2 workers of 16 cores whose tasks take 1 second
    When the store takes 0.8 seconds to answer
    And 2 tasks of 16 cores are handed in
    And 1.2 seconds pass in that cell
    And both workers shrink to 6 cores
    And 3 seconds pass in that cell
    Then no task was started

  Scenario: Free capacity is the capacity less what runs hold, over random histories
    When workers gain and lose runs and change their capacity at random in 300 histories
    Then their free capacity was always the current capacity less what their runs hold
