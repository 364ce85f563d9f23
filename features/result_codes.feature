Feature: Result codes are numbered and documented

  Scenario: The table in docs/CODES.md matches the code
    When the table of docs/CODES.md is read
    Then the table lists exactly the result codes of the program, with their outcomes and statuses

  Scenario: All codes of a group have the same outcome
    Then codes from 200 to 399 have the outcome "not_run"
    And codes from 400 to 499 have the outcome "unknown"
