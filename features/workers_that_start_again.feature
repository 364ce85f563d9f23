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

  Scenario Outline: A start that stood open is not carried out beside a later one by the next life: <when>
    # The former life's clock, by which the start would be void, means nothing to the next one.
    Given a cell of 2 workers that keep their names, and whose tasks take 4 seconds
    When every order is carried out <late> seconds late and not answered
    And 1 more jobs of one task each are handed in
    And <pause> seconds pass in that cell
    And every worker goes down, and starts again after 0.3 seconds
    And 12 seconds pass in that cell
    Then the cluster has broken nothing
    And all 1 jobs are shown as completed

    Examples:
      | when                                           | late | pause |
      | it is open as the worker goes down             | 2.5  | 0.2   |
      | it counted as unanswered                       | 2.5  | 0.6   |
      | it was void by the clock of the former life    | 6    | 2.5   |

  Scenario: A start of a former holder that stood open is not carried out beside a later one
    Given a cell of 2 workers that keep their names, and whose tasks take 4 seconds
    When every order is carried out 6 seconds late and not answered
    And 1 more jobs of one task each are handed in
    And the holder dies, and 0.1 seconds pass
    And every worker goes down, and starts again after 0.3 seconds
    And 14 seconds pass in that cell
    Then the cluster has broken nothing
    And all 1 jobs are shown as completed

  Scenario: Entries of former lives change nothing
    Given a cell of 4 workers that keep their names, and whose tasks take 1 second
    When every worker goes down, and starts again after 0.3 seconds
    And 3 seconds pass in that cell
    And the directory tells of the former lives once more
    And 8 more jobs of one task each are handed in
    And 5 seconds pass in that cell
    Then all 8 jobs are shown as completed

  Scenario: An entry that does not say when its worker was born is another writer's
    Given a cell of 4 workers that keep their names, and whose tasks take 1 second
    When entries of all workers no longer say when they were born
    And 1 seconds pass in that cell
    And 8 more jobs of one task each are handed in
    And 5 seconds pass in that cell
    Then 0 tasks have begun
    When all workers write their entries again
    And 5 seconds pass in that cell
    Then all 8 jobs are shown as completed

  Scenario: Schedules in which workers start again under their names break nothing
    When jobs are played over seeds 1 to 8 with workers that keep their names
    Then nothing that must hold is broken

  Scenario Outline: A schedule with restarts that once broke something holds: <seed>
    When jobs are played over seeds <seed> to <seed> with workers that keep their names
    Then nothing that must hold is broken

    Examples: a worker was given up and back within the time in which its last orders may be carried out
      | seed |
      | 5000 |
      | 5009 |
      | 5010 |

    Examples: runs that were ordered to stop counted as there when their workers went down later
      | seed |
      | 6039 |

    Examples: late starts at a next life that was behind a cut, or while there was no holder
      | seed |
      | 8067 |
      | 8075 |

  Scenario: A job is not given up for a worker that went down behind a cut, after its runs had ended
    # The worker was last heard 1 ms after its start, the cut began 0.22 s later, the runs ended well
    # 0.31 s after their start, and another life answered 3.7 s after it.
    When jobs are played over seeds 10031 to 10031 with workers that keep their names
    Then nothing that must hold is broken

  Scenario Outline: A schedule with restarts in three shards that once broke something holds: <seed>
    When jobs are played over seeds <seed> to <seed> with workers that keep their names, in three shards
    Then nothing that must hold is broken

    Examples: starts that were stopped, and not remembered, were carried out by a later life
      | seed |
      | 7063 |
      | 9050 |

    Examples: a gang's member that crashes its workers, and was to be stopped for another's sake, was not blamed
      | seed  |
      | 11074 |

    Examples: runs that had been at work for a while, and whose ends were not read, were blamed as just begun
      | seed |
      | 9094 |
      | 9131 |

  Scenario Outline: <order> meant for a former life reaches no other one
    Given a worker on the wire that was born at 100 and has listed ends
    When it starts again at 200, and its connections are reset
    And <order> that was meant for the life born at 100 is sent
    Then the order's outcome is "other_life", and 200 is told for a hold
    And the life born at 200 was asked to look and nothing else

    Examples:
      | order                               |
      | a hold that notes ends through 4    |
      | a start                             |
      | a stop                              |

  Scenario: A new connection asks once which life it has reached
    Given a worker on the wire that was born at 100 and has listed ends
    When its connections are reset
    And a start that was meant for the life born at 100 is sent
    And a start that was meant for the life born at 100 is sent
    Then both starts are done
    And the life born at 100 was asked to look once more

  Scenario: A worker that does not say when it was born is not asked
    Given a worker on the wire that does not say when it was born
    When a start that was meant for any life is sent
    Then the start is done
    And the worker was never asked to look

  Scenario: A silent connection to a former life keeps no order waiting beyond its time
    Given a worker on the wire that was born at 100 and has listed ends
    When it loses power and starts again at 200, and its connections say nothing
    And a start that was meant for the life born at 100 is sent
    Then the start was not answered
    When a start that was meant for the life born at 100 is sent
    Then the order's outcome is "other_life", and 200 is told for a hold

  Scenario: A task that could run and does not is found before the schedule ends
    # Without the birth in addresses, lists of a worker that has started again are left aside.
    Given addresses of workers that do not name a life
    When jobs are played over seeds 4000 to 4003 with workers that keep their names
    Then jobs were found idle on free room
