Feature: What must always hold of jobs, under faults, in virtual time

  Several nodes over stand-ins for the store, the workers and the advice service. Everything
  that callers and workers see is checked: room, runs, order, attempts, gangs, cancels, what
  callers are told, and that every accepted job comes to its end.

  Scenario: A calm run breaks nothing and finishes every job
    When jobs are played over seeds 1 to 4 without faults
    Then nothing that must hold is broken
    And at least 150 jobs were completed

  Scenario: Schedules of one to four faults break nothing
    When jobs are played over seeds 100 to 160 with drawn faults
    Then nothing that must hold is broken

  Scenario Outline: A schedule that once broke something holds: <seed>
    When jobs are played over seeds <seed> to <seed> with drawn faults
    Then nothing that must hold is broken

    Examples: a holder that was cut off said "no such job" of jobs accepted elsewhere
      | seed |
      | 1    |
      | 11   |
      | 71   |
      | 94   |

    Examples: a caller who asked twice was told "accepted" of a job refused to the other
      | seed |
      | 98   |
      | 199  |
      | 459  |
      | 543  |

  Scenario Outline: Without <mechanism> something is broken
    When jobs are played over seeds from <first> without "<mechanism>" until "<violation>" is found
    Then it is found within 40 seeds

    Examples:
      | mechanism                        | first | violation        |
      | starts only after the commit     | 5     | run_after_done   |
      | fencing tokens at workers        | 120   | two_runs         |
      | the end of leases                | 27    | two_runs         |
      | room of stray runs               | 50    | over_capacity    |
      | proof before unknown jobs        | 1     | accepted_unknown |
      | ends noted only after the commit | 3     | run_after_done   |
