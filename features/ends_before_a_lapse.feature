Feature: Ends from before a lapse of their worker's lease

  An end that was not acknowledged before the worker's lease lapsed does not count, so no job is shown
  as completed by it.

  # The holder's bound on the lease lies after the worker's, by the holds that did not arrive.
  Scenario Outline: An end from before a lapse does not complete a job: back after <away> s
    Given a cell of 1 worker whose tasks take 4 seconds, and which starts nothing else
    And the only worker that runs a task is cut off from all nodes
    When <away> seconds pass in that cell
    And that worker is reached again
    And 0.6 seconds pass in that cell
    Then the first job is not completed

    Examples:
      | away |
      | 6.2  |
      | 6.5  |
      | 9    |

  Scenario: An end from before a lapse does not complete a job: its worker was forgotten meanwhile
    Given a cell of 1 worker whose tasks take 4 seconds, and which starts nothing else
    And the only worker that runs a task is cut off from all nodes
    When the entry of that worker is deleted
    And 9 seconds pass in that cell
    And the entry of that worker is written again
    And that worker is reached again
    And 1 seconds pass in that cell
    Then the first job is not completed

  Scenario: An end from before a lapse does not complete a job: the store was away for 12 s
    Given a cell of 1 worker whose tasks take 4 seconds, and which starts nothing else
    When the store stops answering calls
    And 12 seconds pass in that cell
    And the store answers again in that cell
    And 1 seconds pass in that cell
    Then the first job is not completed

  Scenario: A late end does not complete a job if the lease lapses before the store takes it
    Given a cell of 1 worker whose tasks take 1.5 seconds, and whose first start counts as not sent
    And that run is not listed while it runs
    And the store goes away with that start, for 14 seconds
    When 15.5 seconds pass in that cell
    Then a line "end_taken_late" tells how done, ended_as not_started
    And the first job is not completed
