Feature: Jobs end as a naive single copy of the engine says that they do

  Scenario: Random jobs, cancels and repeats on a calm cluster
    When 25 random sets of jobs are played on a cluster and on the naive version
    Then both agree on how every job ended and how often its tasks ended well

  Scenario: Random sequences of what workers report leave the room of workers exact
    When 60 random sequences of starts, ends and stops are given to the table of workers
    Then the room always equals the capacity less what holds it

  Scenario: Records bring a job back to where it was
    When 80 random jobs are advanced, written as records and read back
    Then what must outlive the holder is the same
