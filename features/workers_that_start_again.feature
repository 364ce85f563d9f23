Feature: A worker that starts again under its name

  Users saw tasks run again after they had ended well, with the end taken note of, and accepted jobs of
  which some tasks never ran though most of the room was free. Order of events in the first: a quarter
  of the workers go down and start again under their names, counting ends from 1 and with a clock that
  starts anew; the holder goes on as with the workers that it knew, telling each that ends through 4 are
  noted, which were the former life's; the next four ends there are dropped unread, and the runs,
  neither running nor listed, are taken for gone and started again. Cause: what is counted for a life of
  a worker was kept, and sent, under the worker's name. Evidence: the first end that the holder read
  after the restart was numbered 5, and the same answer found four runs missing, all at once.

  Scenario: Ends of a worker that has started again are noted only once they are read
    Given a cell of 4 workers that keep their names, and whose tasks take 1 second
    When 24 jobs of one task each are handed in there
    And 8 seconds pass in that cell
    And every worker goes down, and starts again after 0.3 seconds
    And 6 seconds pass in that cell
    And 24 more jobs of one task each are handed in
    And 12 seconds pass in that cell
    Then the cluster has broken nothing
    And all 48 jobs are shown as completed

  Scenario: What a worker ran before it started again runs once more
    Given a cell of 4 workers that keep their names, and whose tasks take 20 seconds
    When 12 jobs of one task each are handed in there
    And 12 seconds pass in that cell
    And every worker goes down, and starts again after 0.3 seconds
    And 3 seconds pass in that cell
    Then 12 tasks are at work
