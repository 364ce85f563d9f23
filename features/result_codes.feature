Feature: Result codes are numbered and documented

  Scenario: The table in the docs matches the code
    When the table of docs/CODES.md is read
    Then it lists exactly the codes of the program, with their outcomes and statuses

  Scenario: A code of each group stands for one outcome
    Then codes from 200 to 399 stand for "not_run"
    And codes from 400 to 499 stand for "unknown"
