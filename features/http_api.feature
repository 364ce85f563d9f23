Feature: The HTTP API gives coded answers, and bad input costs no one else anything

  Background:
    Given a running cell of the deployment "klimaplan"

  Scenario: A request gets its own whole answer
    When a caller posts a window command with payload '{"nonce":"a1","work_ms":5}'
    And 2 seconds pass
    Then the answer has status 200, code 100 and the result of payload '{"nonce":"a1","work_ms":5}'

  Scenario Outline: Malformed input is refused with a code and did not run
    When a caller posts <body> to "<path>"
    Then the answer has status <status> and code <code>
    And no worker has started anything

    Examples:
      | path         | body                                                                              | status | code |
      | /v1/requests | {                                                                                 | 400    | 200  |
      | /v1/requests | {"tenant":"night-shift"}                                                          | 400    | 200  |
      | /v1/requests | {"tenant":5,"service":"klimaplan","task_class":"window-command"}                  | 400    | 200  |
      | /v1/requests | {"tenant":"nobody","service":"klimaplan","task_class":"window-command"}           | 400    | 203  |
      | /v1/requests | {"tenant":"night-shift","service":"klimaplan","task_class":"x"}                   | 400    | 202  |
      | /v1/requests | {"tenant":"night-shift","service":"klimaplan","task_class":"night-plan"}          | 400    | 200  |
      | /v1/requests | {"tenant":"night-shift","service":"klimaplan","task_class":"window-command","deadline_seconds":-1} | 400 | 207 |
      | /v1/jobs     | {"tenant":"night-shift","service":"klimaplan","task_class":"night-plan","tasks":0} | 400   | 200  |
      | /v1/nothing  | {}                                                                                | 404    | 205  |

  Scenario: A wrong method is refused
    When a caller sends "PUT /v1/requests HTTP/1.1" without a body
    Then the answer has status 405 and code 206

  Scenario: A body that announces more than the bound is refused before it is read
    When a caller announces a body of 99999999 bytes and sends 10 of them
    Then the answer has status 413 and code 201
    And the connection is closed

  Scenario: A chunked body over the bound is refused
    When a caller sends chunks of 65536 bytes until 2097152 are sent or the connection closes
    Then the answer has status 413 and code 201
    And the connection is closed

  Scenario: A request that trickles in is ended at the read timeout
    When a caller announces a body of 100 bytes and sends 10 of them
    And 11 seconds pass
    Then the answer has status 408 and code 211
    And the connection is closed

  Scenario: A half-sent request that is dropped costs nothing
    When a caller announces a body of 100 bytes and sends 10 of them
    And the caller drops the connection
    And a caller posts a window command with payload '{"nonce":"a2","work_ms":5}'
    And 2 seconds pass
    Then the answer has status 200, code 100 and the result of payload '{"nonce":"a2","work_ms":5}'

  Scenario: A job is accepted, can be asked for, and ends
    When a caller posts {"tenant":"night-shift","service":"klimaplan","task_class":"night-plan","payload":{"nonce":"j1","work_ms":50}} to "/v1/jobs"
    And 1 seconds pass
    Then the answer has status 202 and code 101
    When the caller waits for the job
    And 2 seconds pass
    Then the job has ended with code 100

  Scenario: A job that nobody knows is a coded error
    When a caller sends "GET /v1/jobs/job-none HTTP/1.1" without a body
    Then the answer has status 404 and code 204

  Scenario: A stopping entry leaves the balancer and says "not run"
    When the entry is told to stop
    And a caller sends "GET /v1/health HTTP/1.1" without a body
    Then the answer has status 503
    When a caller posts an unkeyed window command
    Then the answer has status 503 and code 303
    And the answer says when to come back
