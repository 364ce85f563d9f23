Feature: Callers hand jobs in over HTTP, and bad input costs no one else anything

  Background:
    Given a running cluster of nodes with a front for callers

  Scenario: A job is accepted, shown, and ends
    When a caller posts to "/normal/00000000000000a1" the job
      """
      {"spec":"plan","steps":[{"count":2,"cpu":1000,"memMb":256,"estimatedMs":500},{"count":1,"cpu":500,"memMb":128,"dependsOn":[0]}]}
      """
    And 0.5 seconds pass in the cluster
    Then the front's answer has status 200
    When 8 seconds pass in the cluster
    And a caller gets "/normal/00000000000000a1"
    And 0.5 seconds pass in the cluster
    Then the front's answer has status 200 and the field "state" is "completed"

  Scenario: The same identifier stays one job
    When a caller posts to "/normal/00000000000000a2" a small job
    And 0.5 seconds pass in the cluster
    And a caller posts to "/normal/00000000000000a2" a small job
    And 8 seconds pass in the cluster
    Then the front's answer has status 200
    And 1 run was started

  Scenario: A cancelled job is shown as cancelled
    When a caller posts to "/patient/00000000000000a3" a small job
    And 0.3 seconds pass in the cluster
    And a caller deletes "/patient/00000000000000a3"
    And 0.5 seconds pass in the cluster
    Then the front's answer has status 200
    When a caller gets "/patient/00000000000000a3"
    And 0.5 seconds pass in the cluster
    Then the front's answer has status 200 and the field "state" is "cancelled"

  Scenario: A cancel that comes before its job keeps it from running
    When a caller deletes "/normal/00000000000000a4"
    And 0.5 seconds pass in the cluster
    Then the front's answer has status 410
    When a caller posts to "/normal/00000000000000a4" a small job
    And 5 seconds pass in the cluster
    Then 0 runs were started

  Scenario: Waiting jobs of a queue are counted
    When a caller gets "/urgent/"
    And 0.5 seconds pass in the cluster
    Then the front's answer has status 200 and the field "waiting" is "0"

  Scenario: Nobody knows the job
    When a caller gets "/normal/00000000000000ff"
    And 0.5 seconds pass in the cluster
    Then the front's answer has status 410

  Scenario Outline: An unknown host or path is not found
    When a caller of "<host>" gets "<path>"
    Then the front's answer has status 404 and code 205

    Examples:
      | host         | path                      |
      | other.test   | /normal/00000000000000a1  |
      | cell.test    | /nothing/00000000000000a1 |
      | cell.test    | /normal                   |

  Scenario Outline: Malformed jobs are refused with a code and never run
    When a caller posts to "/normal/<id>" the body <body>
    Then the front's answer has status 400 and code 200
    And 0 runs were started

    Examples:
      | id               | body                                                            |
      | 00000000000000a1 | {                                                               |
      | 00000000000000a1 | []                                                              |
      | 00000000000000a1 | {"spec":"x"}                                                    |
      | 00000000000000a1 | {"spec":5,"steps":[{"count":1}]}                                |
      | 00000000000000a1 | {"spec":"x","steps":[]}                                         |
      | 00000000000000a1 | {"spec":"x","steps":[{"count":0}]}                              |
      | 00000000000000a1 | {"spec":"x","steps":[{"count":-1}]}                             |
      | 00000000000000a1 | {"spec":"x","steps":[{"count":1,"cpu":-5}]}                     |
      | 00000000000000a1 | {"spec":"x","steps":[{"count":1,"cpu":"many"}]}                 |
      | 00000000000000a1 | {"spec":"x","steps":[{"count":1,"dependsOn":[0]}]}              |
      | 00000000000000a1 | {"spec":"x","steps":[{"count":1},{"count":1,"dependsOn":[2]}]}  |
      | 00000000000000a1 | {"spec":"x","steps":[{"count":1}],"repeatCount":-1}             |
      | 00000000000000a1 | {"spec":"x","steps":[{"count":20000}]}                          |
      | notahexnumber    | {"spec":"x","steps":[{"count":1}]}                              |

  # Guards against accepting a number that the store's records cannot hold.
  Scenario Outline: A number or name out of its bounds is refused, and the answer names the field
    When a caller posts to "/normal/00000000000000a1" a step with "<field>" of <value>
    Then the front's answer has status 400 and code 200
    And the front's answer names the field "<field>"
    And 0 runs were started

    Examples:
      | field        | value                 |
      | cpu          | 18446744073709551616  |
      | cpu          | 1099511627777         |
      | memMb        | 18446744073709551616  |
      | gpu          | 18446744073709551616  |
      | antiAffinity | 18446744073709551616  |
      | mayMiss      | 18446744073709551616  |
      | mayMiss      | -9223372036854775809  |
      | count        | 18446744073709551616  |
      | estimatedMs  | 18446744073709551616  |
      | targetMs     | 1e300                 |
      | dependsOn    | [18446744073709551616] |
      | image        | 513 letters           |
      | requirements | 513 letters           |
      | affinity     | 513 letters           |

  Scenario Outline: A schedule out of its bounds is refused, and the answer names the field
    When a caller posts to "/normal/00000000000000a1" a job with "<field>" of <value>
    Then the front's answer has status 400 and code 200
    And the front's answer names the field "<field>"

    Examples:
      | field       | value                |
      | startAtMs   | 18446744073709551616 |
      | intervalMs  | 18446744073709551616 |
      | intervalMs  | 9007199254740993     |
      | repeatCount | 18446744073709551616 |

  Scenario: A number that no machine has is a job that waits, and costs others nothing
    When a caller posts to "/normal/00000000000000a1" a step with "cpu" of 1099511627776
    And 0.5 seconds pass in the cluster
    Then the front's answer has status 200
    When a caller posts to "/normal/00000000000000a2" a small job
    And 8 seconds pass in the cluster
    And a caller gets "/normal/00000000000000a2"
    And 0.5 seconds pass in the cluster
    Then the front's answer has status 200 and the field "state" is "completed"

  Scenario: A text beyond the bound is refused
    When a caller posts to "/normal/00000000000000a1" a job with a text of 4001 bytes
    Then the front's answer has status 400 and code 200

  Scenario: A method that no route takes is refused
    When a caller sends "PUT /normal/00000000000000a1 HTTP/1.1"
    Then the front's answer has status 405 and code 206

  Scenario: A body over the limit is refused before it is read
    When a caller announces 300000 bytes for "/normal/00000000000000a1" and sends 10 of them
    Then the front's answer has status 413 and code 201
    And the front closes the connection

  Scenario: A half-sent request is ended within its time, and nothing of it is kept
    When a caller announces 100 bytes for "/normal/00000000000000a1" and sends 10 of them
    And 8 seconds pass in the cluster
    Then the front's answer has status 408 and code 211
    And the front closes the connection
    And 0 runs were started

  Scenario: A head that trickles in is ended within its time
    When a caller sends the first 10 bytes of a head
    And 4 seconds pass in the cluster
    Then the front's answer has status 408 and code 211
    And the front closes the connection

  Scenario: Before there is a configuration, callers are told when to come back
    Given a node without a configuration
    When a caller gets "/normal/00000000000000a1"
    Then the front's answer has status 503
    And the front's answer says when to come back

  Scenario: While the store is silent, jobs are refused at once
    Given the store is silent
    When a caller posts to "/normal/00000000000000b1" a small job
    And a caller posts to "/normal/00000000000000b2" a small job
    And 0.5 seconds pass in the cluster
    And a caller posts to "/normal/00000000000000b3" a small job
    And 0.05 seconds pass in the cluster
    Then the front's answer has status 503
    And the front's answer says when to come back
    And 0 runs were started

  Scenario Outline: While the store is silent, what cannot be known is said at once: <what>
    Given the store is silent
    When a caller posts to "/normal/00000000000000b1" a small job
    And a caller posts to "/normal/00000000000000b2" a small job
    And <wait> seconds pass in the cluster
    And a caller <what> "/normal/00000000000000b9"
    And 0.9 seconds pass in the cluster
    Then the front's answer has status 504
    And the front's answer says when to come back

    Examples: asked before it is plain that the store is silent, and after
      | what    | wait |
      | gets    | 0.05 |
      | gets    | 1.5  |
      | deletes | 0.05 |
      | deletes | 1.5  |

  Scenario: While the store is silent, a job that it has is still told to be accepted
    When a caller posts to "/normal/00000000000000b5" a small job
    And 0.05 seconds pass in the cluster
    Given the store is silent
    When a caller posts to "/normal/00000000000000b1" a small job
    And 1 seconds pass in the cluster
    And a caller posts to "/normal/00000000000000b5" a small job
    And 0.05 seconds pass in the cluster
    Then the front's answer has status 200

  Scenario: A cancel outlives its job where that is refused
    Given the store is silent
    When a caller posts to "/normal/00000000000000b1" a small job
    And 0.05 seconds pass in the cluster
    And a caller posts to "/normal/00000000000000b6" a small job
    And a caller deletes "/normal/00000000000000b6"
    And 1 seconds pass in the cluster
    Given the store answers again
    When 1 seconds pass in the cluster
    And a caller posts to "/normal/00000000000000b6" a small job
    And 1 seconds pass in the cluster
    Then 1 run was started

  Scenario: A cancel of which the store could not be told is not forgotten
    When a caller posts to "/normal/00000000000000b4" a small job
    And 0.05 seconds pass in the cluster
    Given the store is silent
    When a caller deletes "/normal/00000000000000b4"
    And 1 seconds pass in the cluster
    Then the front's answer has status 504
    Given the store answers again
    When 1 seconds pass in the cluster
    And a caller gets "/normal/00000000000000b4"
    And 0.1 seconds pass in the cluster
    Then the front's answer has status 200 and the field "state" is "cancelled"

  Scenario: A stopping node lets its callers finish and says that it is not ready
    When a caller posts to "/normal/00000000000000c1" a small job
    And the node is told to stop
    And 1 seconds pass in the cluster
    Then the front's answer has status 200
    And the node says that it is not ready
