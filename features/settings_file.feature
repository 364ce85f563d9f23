Feature: The settings file is checked on load

  Scenario: Both shipped deployments are valid
    When the shipped deployment "klimaplan" is checked
    Then no fault is named
    When the shipped deployment "motor-estudio" is checked
    Then no fault is named

  Scenario: A file with three faults of three kinds has all three named
    Given the shipped deployment "klimaplan" with these changes
      | key                         | value       |
      | entries.0.zone              | nowhere     |
      | platform.port               | not-a-port  |
      | limits.unheard_of           | 1           |
    When it is checked by the entry program
    Then the exit code is 3
    And the output names "entries.0.zone"
    And the output names "platform.port"
    And the output names "limits.unheard_of"

  Scenario: A file that is not YAML is one fault
    Given a settings file that holds "zones: [unclosed"
    When it is checked by the entry program
    Then the exit code is 3
    And the output names "cell.yaml"

  Scenario: An unknown entry name is a usage fault
    When the entry program is started for an entry that does not exist
    Then the exit code is 2
