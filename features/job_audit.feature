Feature: The audit of jobs finds starts after the end of a task

  An end counts once it is noted, unless the worker's lease lapsed between the two.

  Scenario Outline: A task that is started again after <what>
    Given an audited job of one task, whose run has ended done on a worker
    When the audit is told: <events>
    Then the audit has found <found>

    Examples:
      | what                                     | events                                                                     | found          |
      | its end, which is noted later            | it starts elsewhere, its end is noted                                      | run_after_done |
      | its end, which is never noted            | it starts elsewhere                                                        | nothing        |
      | its end, noted once the lease had lapsed | it starts elsewhere, the lease lapses, its end is noted                    | nothing        |
      | its end was noted                        | its end is noted, 2 seconds pass, it starts elsewhere                      | run_after_done |
      | its end was noted, and the lease lapsed  | its end is noted, the lease lapses, 2 seconds pass, it starts elsewhere    | run_after_done |
      | a lapse, before its end was noted        | the lease lapses, its end is noted, 2 seconds pass, it starts elsewhere    | nothing        |
      | it was shown as completed                | the lease lapses, it is shown completed, 2 seconds pass, it starts elsewhere | run_after_done |
      | it was shown as completed just before    | the lease lapses, it is shown completed, it starts elsewhere               | nothing        |
      | it was shown as running                  | the lease lapses, it is shown running, 2 seconds pass, it starts elsewhere | nothing        |
