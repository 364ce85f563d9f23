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

  # Callers that waited for a job's end were cut off as the process of their entry ended.
  Scenario: A stopping entry answers a caller that waits for the end of another entry's job
    When a caller posts {"tenant":"night-shift","service":"klimaplan","task_class":"night-plan","payload":{"nonce":"j2","work_ms":60000}} to "/v1/jobs"
    And 1 seconds pass
    And the caller waits for the job at another entry
    And the entry is told to stop
    And 12 seconds pass
    Then the entry's process has ended
    And the answer has status 200 and says that the job is accepted

  # Callers and operators who waited for the log were cut off as the process of their entry ended.
  Scenario Outline: A stopping entry answers though the log is silent: <what>
    Given the log falls silent
    When a caller posts <body> to "<path>"
    And the entry is told to stop
    And 20 seconds pass
    Then the entry's process has ended
    And the answer has status 502 or 503

    Examples:
      | what     | path         | body                                                                                                                    |
      | a job    | /v1/jobs     | {"tenant":"night-shift","service":"klimaplan","task_class":"night-plan","payload":{"nonce":"j3","work_ms":50}}          |
      | settings | /v1/settings | {"change_id":"c1","operator":"ops","changes":[{"path":"klimaplan","key":"task.priority","value":1,"expected_revision":null}],"dry_run":false} |

  # Requests of which a part had arrived were cut off as well.
  Scenario: A site that closes answers what has arrived in part
    When a caller announces a body of 100 bytes and sends 10 of them
    And the site is closed
    Then the answer has status 503 and code 303
    And the answer says when to come back
    And the connection is closed

  Scenario: A stopping entry leaves the balancer and says "not run"
    When the entry is told to stop
    And a caller sends "GET /v1/health HTTP/1.1" without a body
    Then the answer has status 503
    When a caller posts an unkeyed window command
    Then the answer has status 503 and code 303
    And the answer says when to come back
