Feature: Operators change the settings tree over HTTP

  Background:
    Given a running cell of the deployment "klimaplan"

  Scenario: A level inherits a value until a lower level overrides the value
    When an operator sets "task.patience_seconds" at "zahorie" to 30
    And an operator sets "task.patience_seconds" at "zahorie/hala-juh" to 9
    Then "task.patience_seconds" at "zahorie/hala-sever/klimaplan" is 30 from level "zahorie"
    And "task.patience_seconds" at "zahorie/hala-juh/klimaplan" is 9 from level "zahorie/hala-juh"
    When an operator unsets "task.patience_seconds" at "zahorie/hala-juh"
    Then "task.patience_seconds" at "zahorie/hala-juh/klimaplan" is 30 from level "zahorie"

  Scenario: A change on an outdated revision is refused as a conflict
    When an operator sets "task.priority" at "zahorie" to 1
    And an operator sets "task.priority" at "zahorie" to 2 on revision 0
    Then the answer has status 409 and code 500
    And the winning value is 1

  Scenario Outline: A change that the schema forbids is refused with a code
    When an operator sets "<key>" at "zahorie" to <value>
    Then the answer has status 400 and code 501

    Examples:
      | key                   | value    |
      | task.priority         | 3        |
      | task.priority         | 1.5      |
      | task.patience_seconds | "long"   |
      | placement.policy      | "random" |
      | service.admitted      | 1        |
      | no.such.setting       | 1        |

  Scenario: A change of several keys is accepted as a whole or refused as a whole
    When an operator sets two keys at "zahorie", one with a wrong revision
    Then the answer has status 409 and code 500
    And the settings tree has no values

  Scenario: A dry run lists the task classes that a change affects, and sets no value
    When an operator sends a dry run that sets "task.priority" at "zahorie/hala-juh" to 2
    Then the answer lists 3 task classes, all in the zone "hala-juh"
    And the settings tree has no values

  Scenario: A change expires with a result code while the log is unavailable
    When the log becomes unavailable
    And an operator sets "task.priority" at "zahorie" to 1
    Then the answer has status 502 and code 403

  Scenario: Operators see the history of a key and which entries have applied its changes
    When an operator sets "task.priority" at "zahorie" to 1
    And an operator sets "task.priority" at "zahorie" to 2
    And 3 seconds pass
    Then the history of "task.priority" at "zahorie" goes from null to 1 to 2
    And no entry lags behind and 2 changes are in force at every entry

  Scenario: A setting in force decides whether work of a service is admitted
    When an operator sets "service.admitted" at "zahorie/hala-sever/klimaplan" to false
    And a caller posts an unkeyed window command
    Then the answer has status 429 and code 308

  Scenario: The documentation of the settings matches the schema
    Then docs/SETTINGS.md equals the page rendered from the schema
