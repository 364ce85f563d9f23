Feature: A refusal tells callers its reason, load or fault, and the retry time

  Scenario Outline: A refusal for load is 429, one for a fault is 503, both with a retry time in whole seconds
    Given a running cluster of nodes with a front for callers
    When a job is refused there for "<reason>" and <seconds> seconds
    Then the front's answer has status <status>
    And the front's answer has a Retry-After of <told> seconds

    Examples:
      | reason                        | seconds | status | told |
      | too_late                      | 3.2     | 429    | 4    |
      | in_doubt                      | 0.1     | 429    | 1    |
      | queue_closed                  | 12      | 429    | 12   |
      | store_in_trouble              | 1.0     | 503    | 1    |
      | no_holder                     | 1.5     | 503    | 2    |
      | identifier_of_another_tenant  | 1.0     | 503    | 1    |
      |                               | 0       | 503    | 1    |
      | too_late                      | -3      | 429    | 1    |
      | too_late                      | nan     | 429    | 1    |
      | too_late                      | inf     | 429    | 3600 |

  Scenario Outline: The product's own interface also returns a code
    Given a running cluster with the product's own interface
    When a job is refused at the product's own interface for "<reason>" and 3.2 seconds
    Then the front's answer has status <status> and code <code>
    And the front's answer has a Retry-After of 4 seconds

    Examples:
      | reason            | status | code |
      | too_late          | 429    | 314  |
      | in_doubt          | 429    | 314  |
      | queue_closed      | 429    | 314  |
      | store_in_trouble  | 503    | 312  |
      | no_holder         | 503    | 312  |
