Feature: Lists of a worker that pass each other, and tasks that are done by a late end

  A worker's runs are known once its latest list is whole.  A task that is done stays done, whatever
  becomes of its other runs.

  # Ends beyond the list that was cut short are not read, and their tasks start again.
  Scenario: A worker's runs are not known by an older list, if the latest was cut short
    Given a cell of 2 workers whose tasks take 4 seconds
    And the holder has been replaced by one that cannot reach the worker that runs the job
    When that worker's list that was cut short comes before an older one that is whole
    Then the task of the first job is still in doubt

  # The task was done; the last allowed failure of its other run, which was being stopped, failed the job.
  Scenario: A job does not fail by a run of a task that is done
    Given a cell of 2 workers whose tasks take 4 seconds
    And a job of two steps, of whose first task 2 runs have failed and a third is under way
    When an end of an earlier run completes that task late, and then the third run fails
    Then that job is still running
