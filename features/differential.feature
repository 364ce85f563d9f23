Feature: The system gives the same results as a naive version

  The naive version is a single process without replicas and without faults.  The naive
  version scans and sorts lists where the system uses indexes, and applies changes one
  after the other.

  Scenario: A whole cell gives the same answers as the naive version
    When the same requests go to the naive version and to a cell without faults
    Then every answer is the same

  Scenario: Under faults, a cell gives the same answer or reports "not run" or "unknown"
    When the same requests go to the naive version and to a cell under random faults
    Then every answer equals the naive version's answer or is "not run" or "unknown"

  Scenario: The settings tree decides between conflicting changes as the naive tree does
    Then random changes by concurrent operators leave both trees equal

  Scenario: Repeated appends do not change the state of the cell
    Then a log with repeated batches gives the same state as the log without the repeats

  Scenario: Claims give each worker the same holder as in the naive version
    Then random claims, renewals and releases leave the same holders in both

  Scenario: Placement finds a worker for a task exactly when a full scan finds one
    Then both find a worker for the same random tasks, and no free capacity is negative

  Scenario: The waiting queue has the same order as a sorted list
    Then random arrivals, dispatches and withdrawals leave both queues in the same order
