Feature: Ends of runs that come late or unexpectedly

  A worker tells the end of a run until the holder has acknowledged it.  An end that is acknowledged
  and not used must not have a task run again that is done, and an end that came before a lease
  lapsed does not count.

  # Without a line for such an end, a task that ran again could not be explained from the logs.
  Scenario: An end of a run that was abandoned with its lease is logged as ignored
    Given a cell of 2 workers whose tasks take 4 seconds
    And the only worker that runs a task is cut off from all nodes
    When 9 seconds pass in that cell
    And that worker is reached again
    And 1 seconds pass in that cell
    Then a line "worker_returned" tells lease lapsed, running 0, ended 1
    And a line "end_ignored" tells how done, reason counted, ended_as abandoned, lease lapsed
    And the cluster has broken nothing

  Scenario: An end that a new holder reads while another run of the task is under way is logged
    Given a cell of 2 workers whose tasks take 4 seconds
    When the holder is killed, and its successor cannot reach the worker that runs the job
    And 12 seconds pass in that cell
    And that worker is reached again
    And 1 seconds pass in that cell
    Then a line "end_ignored" tells how done, reason other_run, other_state running, lease unknown
    And the cluster has broken nothing

  Scenario: The lines for ignored ends in one answer of a worker are bounded
    When 30 ends in one answer are ignored
    Then 20 lines "end_ignored" and one "ends_ignored" with more 10 are logged

  # Told apart by them: a new holder that restored a state without an end.
  Scenario Outline: A new holder has read all that the store acknowledged to the former one: <change>
    Given a cell of 2 workers whose tasks take 4 seconds
    When the holder changes because it is <change>
    Then the line "state_restored" tells an end that is not before the former holder's last append
    And the line "step_down" of the former holder tells the same append, if it gave the shard up

    Examples:
      | change                   |
      | killed                   |
      | paused                   |
      | cut off from the store   |

  # The end was acknowledged and not used, and the task ran again.
  Scenario: The end of a run that counts as not started completes its task
    Given a cell of 1 worker whose tasks take 0.3 seconds, and whose first start counts as not sent
    And that run is not listed while it runs
    When 4 seconds pass in that cell
    Then the first job is completed
    And 1 run has started in that cell, and 0 have been stopped
    And the cluster has broken nothing

  Scenario: The end of a run that counts as not started withdraws a start that is planned
    Given a cell of 2 workers whose tasks take 1 second, and whose first start counts as not sent
    And that run is not listed while it runs
    And the store goes away with that start, for 2 seconds
    When 6 seconds pass in that cell
    Then the first job is completed
    And 1 run has started in that cell, and 0 have been stopped
    And the cluster has broken nothing

  Scenario: The end of a run that counts as not started stops the next run of its task
    Given a cell of 1 worker whose tasks take 3 seconds, and whose first start counts as not sent
    And that run is not listed while it runs
    When 3.5 seconds pass in that cell
    Then the first job is completed
    And 2 runs have started in that cell, and 1 has been stopped

  # The attempt was not counted, so that the task was started once more than its queue allows.
  Scenario: A failure of a run that counts as not started counts as an attempt
    Given a cell of 1 worker whose tasks take 0.6 seconds, and whose first start counts as not sent
    And that run is not listed while it runs
    And every run fails
    When 8 seconds pass in that cell
    Then the first job is failed
    And 3 runs have started in that cell, and 0 have been stopped
    And the cluster has broken nothing

  # The clock of the worker is so slow that its lease counts as over too early.
  Scenario: An end from before a lease counted as over counts if the worker's clock shows no lapse
    Given a cell of 1 worker with a quarter of the speed of its clock, whose tasks take 6 seconds
    And the only worker that runs a task is cut off from all nodes
    When 9 seconds pass in that cell
    And that worker is reached again
    And 4 seconds pass in that cell
    Then a line "worker_returned" tells lease kept, running 0, ended 1
    And the first job is completed
    And 1 run has started in that cell, and 0 have been stopped
    And the cluster has broken nothing

  Scenario: An end from before a lapse of the lease does not count, and the task runs again
    Given a cell of 1 worker whose tasks take 4 seconds, and which starts nothing else
    And the only worker that runs a task is cut off from all nodes
    When 9 seconds pass in that cell
    And that worker is reached again
    And 1 seconds pass in that cell
    Then the first job is not completed
    When 6 seconds pass in that cell
    Then the first job is completed
    And 2 runs have started in that cell, and 0 have been stopped
    And the cluster has broken nothing

  # A run of an earlier holder went on beside the next run of its task; its end was not used.
  Scenario: The end of a run that no holder knows stops the next run of its task
    Given a cell of 2 workers whose tasks take 16 seconds
    And the clock of the worker that runs the job goes at a quarter of its speed, and its stops are lost
    When the holder is killed, and its successor cannot reach the worker that runs the job
    And 11.6 seconds pass in that cell
    And that worker is reached again
    And 4.5 seconds pass in that cell
    Then the first job is completed
    And 2 runs have started in that cell, and 1 has been stopped

  # It went on beside the next run of its task, on capacity that counted as free.
  Scenario: A run that counts as not started, and is listed, goes on as the run of its task
    Given a cell of 1 worker whose tasks take 3 seconds, and whose first start counts as not sent
    And the store goes away with that start, for 2 seconds
    When 6 seconds pass in that cell
    Then the first job is completed
    And 1 run has started in that cell, and 0 have been stopped
    And the cluster has broken nothing

  Scenario: A run that counts as abandoned, and is listed, goes on if its task has no other
    Given a cell of 1 worker with a quarter of the speed of its clock, whose tasks take 14 seconds
    And the only worker that runs a task is cut off from all nodes
    When 9 seconds pass in that cell
    And that worker is reached again
    And 8 seconds pass in that cell
    Then a line "worker_returned" tells lease kept, running 1, ended 0
    And the first job is completed
    And 1 run has started in that cell, and 0 have been stopped
    And the cluster has broken nothing

  Scenario: A run that counts as abandoned, and is listed, is stopped if its task has another
    Given a cell of 2 workers whose tasks take 16 seconds
    And the clock of the worker that runs the job goes at a quarter of its speed
    And the only worker that runs a task is cut off from all nodes
    When 9 seconds pass in that cell
    And that worker is reached again
    And 2 seconds pass in that cell
    Then 2 runs have started in that cell, and 1 has been stopped

  # An answer may be on its way for seconds; a lease that it shows as kept may have lapsed since.
  Scenario Outline: What is known of a lease until 10000 that a worker granted: <clock>, <age> s old
    Given a worker that has granted a lease until 10000, and was asked for one until <asked>
    When its clock shows <clock> in a list that is up to <age> seconds old
    Then its lease counts as <verdict>

    Examples:
      | asked | clock | age | verdict |
      | 10000 | 9000  | 0.2 | kept    |
      | 10000 | 9000  | 0.8 | unknown |
      | 10000 | 9800  | 0   | unknown |
      | 10000 | 10000 | 0   | unknown |
      | 10000 | 10001 | 0   | lapsed  |
      | 12000 | 10001 | 0   | unknown |
      | 12000 | 12001 | 0   | lapsed  |

  # Its tasks counted as not running there, and started again, before all of its ends were read.
  Scenario: A new holder waits for all ends of a worker whose list was cut short
    Given a cell of 2 workers whose tasks take 1.51 seconds
    And the first 3 lists of each worker for the next holder lack all ends
    When the holder is killed, and another node holds the shard
    And 4 seconds pass in that cell
    Then the first job is completed
    And the cluster has broken nothing
    And 1 run has started in that cell, and 0 have been stopped

  Scenario: The lease of a worker whose list of ends was cut short does not count as kept
    Given a cell of 1 worker whose tasks take 3 seconds, and whose first start counts as not sent
    And that run is not listed while it runs
    And every list of ends is cut short until 3.2 seconds from now
    When 5 seconds pass in that cell
    Then a line "end_ignored" tells how done, reason counted, ended_as not_started, lease unknown

  # The runs that were found there counted as over at once when the worker fell silent again.
  Scenario: Runs at a worker that answers after its lease counted as over have a lease from then on
    Given a cell of 2 workers whose tasks take 40 seconds
    And the clock of the worker that runs the job goes at a quarter of its speed
    And the other workers receive no orders
    When the holder is killed, and its successor cannot reach the worker that runs the job
    And 10.8 seconds pass in that cell
    And the store stops answering calls
    And 4.5 seconds pass in that cell
    And that worker is reached again
    And 0.5 seconds pass in that cell
    Then a line "worker_returned" tells lease unknown, running 1, ended 0
    When that worker is cut off again
    And 1.5 seconds pass in that cell
    And the store answers again in that cell
    And the other workers receive orders again
    And 2.5 seconds pass in that cell
    Then 1 run has started in that cell, and 0 have been stopped
    And the cluster has broken nothing

  # Answers on different connections may pass each other within one millisecond of the worker's clock.
  Scenario Outline: Two lists with one reading of the clock that come in the wrong order: <between>
    Given a cell of 1 worker whose tasks take 4 seconds, and which starts nothing else
    When two lists with one reading of the clock come in the wrong order, and between them <between>
    And 6 seconds pass in that cell
    Then the first job is completed
    And 1 run has started in that cell, and 0 have been stopped
    And the cluster has broken nothing

    Examples:
      | between           |
      | its run had ended |
      | its run had begun |

  Scenario: Ends of several runs of one task in one answer are all used
    Given a cell of 1 worker whose tasks take 4 seconds, and which starts nothing else
    When one answer tells that an unknown run of its task has failed, and its run has ended
    Then its task is done after 1 failed run

  Scenario: A worker that is forgotten and listed again has its task go on elsewhere
    Given a cell of 2 workers whose tasks take 4 seconds
    And the only worker that runs a task is cut off from all nodes
    When the entry of that worker is deleted
    And 9 seconds pass in that cell
    And the entry of that worker is written again
    And that worker is reached again
    And 4 seconds pass in that cell
    Then a line "end_ignored" tells how done, reason other_run, lease unknown
    And the first job is completed
    And 2 runs have started in that cell, and 0 have been stopped
    And the cluster has broken nothing

  Scenario Outline: A claim that is carried out <late> s late leaves out no end
    Given a cell of 2 workers whose tasks take 1.51 seconds
    When the holder is killed, while appends are carried out <late> seconds late for 3 seconds
    And 12 seconds pass in that cell
    Then the first job is completed
    And 1 run has started in that cell, and 0 have been stopped
    And the cluster has broken nothing

    Examples:
      | late |
      | 0.3  |
      | 0.7  |
      | 2    |

  Scenario: An append that is repeated after more later ones than the store remembers changes nothing
    Given a store to which a holder has made 8 appends
    When each of them is made again, the earliest first
    Then the store has kept 8 records, and answers the earliest 3 as out of sequence

  Scenario Outline: A gang of which one start counts as not sent breaks nothing: tasks of <seconds> s
    Given a cell of 2 workers whose tasks take <seconds> seconds, and whose first start of a gang counts as not sent
    When 12 seconds pass in that cell
    Then the first job is completed
    And the cluster has broken nothing

    Examples:
      | seconds |
      | 0.02    |
      | 0.2     |
      | 3       |

  # One end of a gang stands for all; it was acknowledged and not used, and the gang ran again.
  Scenario Outline: The end of a gang that counts as not started completes it: tasks of <seconds> s
    Given a cell of 2 workers whose tasks take <seconds> seconds, and whose first start of a gang counts as not sent
    And all starts of its first run count as not sent, are not listed, and are not stopped
    When 6 seconds pass in that cell
    Then the first job is completed
    And <started> runs have started in that cell, and <stopped> have been stopped

    Examples:
      | seconds | started | stopped |
      | 0.3     | 2       | 0       |
      | 3       | 4       | 1       |
