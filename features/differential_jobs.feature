Feature: Jobs end in the states that a naive model of the scheduler predicts

  Scenario: Random jobs and cancels on a cluster without faults
    When 25 random sets of jobs are run on a cluster and on the naive model
    Then both agree on the final state of every job and its number of completed tasks

  Scenario: Random sequences of starts and ends keep the free capacity of workers exact
    When 60 random sequences of starts, ends and stops are applied to a worker
    Then the free capacity always equals the capacity minus the needs of active runs

  Scenario: Records restore the progress of a job
    When 80 random jobs make progress, are written as records and are read back
    Then the recorded progress is the same
