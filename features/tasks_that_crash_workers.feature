Feature: A task that crashes its workers is given up

  Users saw 24 workers go down one after the other, each 10 ms after it had started one and the same
  task, a worker each 3.4 s and later each 1.7 s, for as long as the day lasted; one class's requests
  were not served for seconds, because up to 8 runs of other jobs went down with each worker.
  Order of events: the task's start is answered, the worker's connections are reset, 3.4 s later
  another life answers at its address, what ran there is abandoned, and the task goes to the next
  worker within 22 ms. Cause: attempts were counted only by ends that workers report, and a worker that
  is gone reports none. Evidence: the log of one holder, which ordered seven starts of the task in a
  row, each one acknowledged (`run_abandoned state=running`), with no end of it listed anywhere.

  Background:
    Given a cell of 8 workers that are back 3 seconds after a crash

  Scenario: A task that crashes each worker is started a few times only
    When a job of one task that crashes its workers is handed in
    And 40 seconds pass in that cell
    Then the cluster has broken nothing
    And the job that crashes workers is shown as failed

  Scenario: Workers that crash while their holder dies are counted, too
    When a job of one task that crashes its workers is handed in
    And the holder dies at each crash, for 60 seconds
    Then the cluster has broken nothing
    And the job that crashes workers is shown as failed

  Scenario: A lasting task that crashes each worker is started a few times only
    When a job of one lasting task that crashes its workers is handed in
    And 40 seconds pass in that cell
    Then the cluster has broken nothing
    And the job that crashes workers is shown as failed
