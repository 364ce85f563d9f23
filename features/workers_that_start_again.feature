Feature: A worker that restarts under its name

  Guards against state of a worker's previous incarnation that is applied to the next one: its ends
  were then dropped unread, so that completed tasks ran again, and its lists of runs were ignored, so
  that accepted tasks never ran.

  Scenario: Ends of a restarted worker are acknowledged only once they are read
    Given a cell of 4 workers that keep their names, and whose tasks take 1 second
    When 24 jobs of one task each are submitted there
    And 8 seconds pass in that cell
    And every worker crashes, and restarts after 0.3 seconds
    And 6 seconds pass in that cell
    And 24 more jobs of one task each are submitted
    And 12 seconds pass in that cell
    Then the cluster has broken nothing
    And all 48 jobs are reported as completed

  Scenario: Tasks that were running on a worker before its restart run again
    Given a cell of 4 workers that keep their names, and whose tasks take 20 seconds
    When 12 jobs of one task each are submitted there
    And 12 seconds pass in that cell
    And every worker crashes, and restarts after 0.3 seconds
    And 3 seconds pass in that cell
    Then 12 tasks are running

  Scenario Outline: The next incarnation does not execute an unresolved start beside a later one: <when>
    # The start expires by the clock of the previous incarnation, which does not bind the next one.
    Given a cell of 2 workers that keep their names, and whose tasks take 4 seconds
    When every order is executed <late> seconds late and not answered
    And 1 more jobs of one task each are submitted
    And <pause> seconds pass in that cell
    And every worker crashes, and restarts after 0.3 seconds
    And 12 seconds pass in that cell
    Then the cluster has broken nothing
    And all 1 jobs are reported as completed

    Examples:
      | when                                           | late | pause |
      | it is unanswered when the worker crashes       | 2.5  | 0.2   |
      | its answer is overdue when the worker crashes  | 2.5  | 0.6   |
      | it expired by the previous incarnation's clock | 6    | 2.5   |

  Scenario: An unresolved start of a previous holder is not executed beside a later one
    Given a cell of 2 workers that keep their names, and whose tasks take 4 seconds
    When every order is executed 6 seconds late and not answered
    And 1 more jobs of one task each are submitted
    And the holder is killed, and 0.1 seconds pass
    And every worker crashes, and restarts after 0.3 seconds
    And 14 seconds pass in that cell
    Then the cluster has broken nothing
    And all 1 jobs are reported as completed

  Scenario: Directory entries of previous incarnations change nothing
    Given a cell of 4 workers that keep their names, and whose tasks take 1 second
    When every worker crashes, and restarts after 0.3 seconds
    And 3 seconds pass in that cell
    And the directory lists the previous incarnations again
    And 8 more jobs of one task each are submitted
    And 5 seconds pass in that cell
    Then all 8 jobs are reported as completed

  Scenario: An entry without the worker's start time does not count as the worker's own
    Given a cell of 4 workers that keep their names, and whose tasks take 1 second
    When the entries of all workers no longer contain a start time
    And 1 seconds pass in that cell
    And 8 more jobs of one task each are submitted
    And 5 seconds pass in that cell
    Then 0 tasks have started
    When all workers write their entries again
    And 5 seconds pass in that cell
    Then all 8 jobs are reported as completed

  Scenario: Schedules in which workers restart under their names violate no invariant
    When jobs are played over seeds 1 to 8 with workers that keep their names
    Then nothing that must hold is broken

  Scenario Outline: A schedule with restarts that once violated an invariant passes: <seed>
    When jobs are played over seeds <seed> to <seed> with workers that keep their names
    Then nothing that must hold is broken

    Examples: a worker was given up and returned while its last orders could still be executed
      | seed |
      | 5000 |
      | 5009 |
      | 5010 |

    Examples: runs that were ordered to stop counted as present when their workers crashed later
      | seed |
      | 6039 |

    Examples: late starts at a next incarnation that was partitioned, or while there was no holder
      | seed |
      | 8067 |
      | 8075 |

  Scenario: A job does not fail for a partitioned worker that crashed after the job's runs had ended
    # The worker last answered 1 ms after the start of the runs, the partition began 0.22 s later, the
    # runs completed 0.31 s after their start, and another incarnation answered 3.7 s after it.
    When jobs are played over seeds 10031 to 10031 with workers that keep their names
    Then nothing that must hold is broken

  Scenario Outline: A schedule with restarts in three shards that once violated an invariant passes: <seed>
    When jobs are played over seeds <seed> to <seed> with workers that keep their names, in three shards
    Then nothing that must hold is broken

    Examples: starts that were stopped, but not remembered, were executed by a later incarnation
      | seed |
      | 7063 |
      | 9050 |

    Examples: a gang member that crashes its workers, and was being stopped for another member, was not blamed
      | seed  |
      | 11074 |

    Examples: runs that had run for a while, and whose ends were not read, were blamed as just started
      | seed |
      | 9094 |
      | 9131 |

  Scenario Outline: <order> for a previous incarnation does not reach another one
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

  Scenario: A new connection asks once which incarnation it has reached
    Given a worker on the wire that was born at 100 and has listed ends
    When its connections are reset
    And a start that was meant for the life born at 100 is sent
    And a start that was meant for the life born at 100 is sent
    Then both starts are done
    And the life born at 100 was asked to look once more

  Scenario: A worker that does not report its start time is not asked for its incarnation
    Given a worker on the wire that does not say when it was born
    When a start that was meant for any life is sent
    Then the start is done
    And the worker was never asked to look

  Scenario: A silent connection to a previous incarnation does not delay an order beyond its timeout
    Given a worker on the wire that was born at 100 and has listed ends
    When it loses power and starts again at 200, and its connections say nothing
    And a start that was meant for the life born at 100 is sent
    Then the start was not answered
    When a start that was meant for the life born at 100 is sent
    Then the order's outcome is "other_life", and 200 is told for a hold

  Scenario: The audit finds a task that could run and does not before the schedule ends
    # Without start times in addresses, the lists of a restarted worker are ignored.
    Given worker addresses without start times
    When jobs are played over seeds 4000 to 4003 with workers that keep their names
    Then jobs were found waiting despite free capacity
