Feature: The system gives what a naive version gives

  The naive version is one process with one copy of everything and no faults; it scans
  and sorts where the system keeps indexes, and applies changes one after the other.

  Scenario: A whole cell answers as the naive version does
    When the same work goes to the naive version and to a cell without faults
    Then every answer is the same

  Scenario: Under faults a cell gives the naive answer, or says that it gave none
    When the same work goes to the naive version and to a cell under drawn faults
    Then every answer is the naive one, "not run" or "unknown"

  Scenario: The settings tree decides every race as the naive tree does
    Then drawn changes of racing operators leave both trees the same

  Scenario: Repeated appends change nothing in the fold
    Then a log in which batches are drawn again folds as the log without them

  Scenario: Claims give each worker one holder, as the naive ledger does
    Then drawn claims, renewals and releases leave both ledgers the same

  Scenario: Placement finds room exactly where a full scan does
    Then drawn workers and tasks are feasible for both, and no reservation goes below zero

  Scenario: The waiting queue keeps the order of a sorted list
    Then drawn arrivals, dispatches and withdrawals leave both queues in the same order
