Feature: The settings tree over the operators' API

  Background:
    Given a running cell of the deployment "klimaplan"

  Scenario: A value is inherited until a lower level overrides it
    When an operator sets "task.patience_seconds" at "zahorie" to 30
    And an operator sets "task.patience_seconds" at "zahorie/hala-juh" to 9
    Then "task.patience_seconds" at "zahorie/hala-sever/klimaplan" is 30 from level "zahorie"
    And "task.patience_seconds" at "zahorie/hala-juh/klimaplan" is 9 from level "zahorie/hala-juh"
    When an operator unsets "task.patience_seconds" at "zahorie/hala-juh"
    Then "task.patience_seconds" at "zahorie/hala-juh/klimaplan" is 30 from level "zahorie"

  Scenario: Of two operators with the same revision one is told of the conflict
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

  Scenario: A change of several keys is taken whole or not at all
    When an operator sets two keys at "zahorie", one on a wrong revision
    Then the answer has status 409 and code 500
    And nothing is set

  Scenario: A dry run shows the work that a change reaches, and changes nothing
    When an operator tries "task.priority" at "zahorie/hala-juh" as 2 in a dry run
    Then the reach names 3 classes of work in the zone "hala-juh" only
    And nothing is set

  Scenario: A change while the log is away is given up with a code
    When the log goes away
    And an operator sets "task.priority" at "zahorie" to 1
    Then the answer has status 502 and code 403

  Scenario: The history and the spread of a change can be seen
    When an operator sets "task.priority" at "zahorie" to 1
    And an operator sets "task.priority" at "zahorie" to 2
    And 3 seconds pass
    Then the history of "task.priority" at "zahorie" goes from null to 1 to 2
    And no entry lags and 2 changes are in force everywhere

  Scenario: A setting in force changes how work is taken
    When an operator sets "service.admitted" at "zahorie/hala-sever/klimaplan" to false
    And a caller posts an unkeyed window command
    Then the answer has status 429 and code 308

  Scenario: The page of settings matches the schema
    Then docs/SETTINGS.md is what the schema gives
