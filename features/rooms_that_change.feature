Feature: A worker's room shrinks and grows while it runs

  What a worker says of its room may change at any time. Free room was kept beside the room that the
  worker had when it was first listed: after it shrank more was started than it holds, and what it
  gained was never used. Evidence: the first two scenarios on the code as it was.

  Scenario: Nothing is started beyond a room that has shrunk
    Given a cell of 2 workers of 16 cores whose tasks take 1 second
    When 60 tasks of 2 cores are handed in
    And 0.5 seconds pass in that cell
    And both workers shrink to 6 cores
    And 25 seconds pass in that cell
    Then the cluster has broken nothing
    And 60 of the 60 jobs are shown as completed

  Scenario: A room that has grown is used
    Given a cell of 2 workers of 2 cores whose tasks take 1 second
    When 4 tasks of 4 cores are handed in
    And 2 seconds pass in that cell
    And both workers grow to 8 cores
    And 2 seconds pass in that cell
    Then the cluster has broken nothing
    And 4 of the 4 jobs are shown as completed

  Scenario: A start whose record is under way when the room shrinks is not ordered
    Given a cell of 2 workers of 16 cores whose tasks take 1 second
    When the store takes 0.8 seconds to answer
    And 2 tasks of 16 cores are handed in
    And 1.2 seconds pass in that cell
    And both workers shrink to 6 cores
    And 3 seconds pass in that cell
    Then no task was started

  Scenario: Free room is what the capacity leaves, over random histories
    When workers take runs, lose them and change their rooms at random, 300 times over
    Then their free room was always the capacity in force less what their runs hold
