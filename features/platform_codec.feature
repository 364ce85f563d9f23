Feature: The adapter speaks the platform's messages, byte for byte as its pages show them

  Scenario: An order to start a run
    When the run 2 of task 17 of step 1 of job "5c0e7a21d94b36f8" is started with token 7 until 486000 from checkpoint "00000bb87a21d94b"
    Then the call is "POST /onyxspoke/run-start" with the body
      """
      {"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"(text)","untilMs":486000,"fencingToken":7,"checkpoint":"00000bb87a21d94b"}
      """
    And the call names the life "i-7f3a91c2"

  Scenario: An order to start a run with a ticket and no checkpoint
    When the run 1 of task 0 of step 0 of job "5c0e7a21d94b36f8" is started with token 7 until 486000 with ticket "c81e-7a21d94b"
    Then the call is "POST /onyxspoke/run-start" with the body
      """
      {"task":"5c0e7a21d94b36f8.0.0.0","run":1,"spec":"(text)","untilMs":486000,"fencingToken":7,"ticket":"c81e-7a21d94b"}
      """

  Scenario Outline: Answers to an order
    When a worker answers an order with <status> and '<body>'
    Then the order's outcome is "<outcome>"

    Examples:
      | status | body                                    | outcome     |
      | 200    | {"clockMs":482113}                      | done        |
      | 409    | {"clockMs":482113,"reason":"fence"}     | fenced      |
      | 409    | {"clockMs":482113,"reason":"old"}       | stale       |
      | 409    | {"clockMs":482113,"reason":"late"}      | expired     |
      | 409    | {"clockMs":482113,"reason":"room"}      | no_room     |
      | 409    | {"clockMs":482113,"reason":"ticket"}    | no_ticket   |
      | 400    | {}                                      | invalid     |
      | 421    |                                         | other_life  |
      | 429    |                                         | unhealthy   |
      | 503    |                                         | unhealthy   |
      | 500    |                                         | no_answer   |
      | 200    | {"clockMs":                             | no_answer   |
      | 0      |                                         | no_answer   |

  Scenario: An order that never left is told apart from one without an answer
    When no connection to the worker comes about
    Then the order's outcome is "not_sent"

  Scenario: An order to stop a run
    When the run 2 of task 17 of step 1 of job "5c0e7a21d94b36f8" is stopped with token 7
    Then the call is "POST /onyxspoke/run-stop" with the body
      """
      {"task":"5c0e7a21d94b36f8.0.1.17","run":2,"fencingToken":7}
      """

  Scenario: A hold that extends and waits
    When a worker is held with token 7 until 486000, seen through 57, waiting 1000
    Then the call is "POST /onyxspoke/hold" with the fields
      | untilMs | fencingToken | lastSeen | waitMs |
      | 486000  | 7            | 57       | 1000   |

  Scenario: A hold that only looks
    When a worker is held with token 7 until 0, seen through 57, waiting 0
    Then the call is "POST /onyxspoke/hold" with the fields
      | fencingToken | lastSeen |
      | 7            | 57       |

  Scenario: The answer to a hold
    When a worker answers a hold with
      """
      {"clockMs":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41],["5c0e7a21d94b36f8.0.1.18",1,"",7,350]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}
      """
    Then the worker's clock is 482113
    And the run 2 of task 17 of step 1 is at 41 percent with checkpoint "00000bb87a21d94b"
    And the run 1 of task 18 of step 1 uses 350
    And the end 58 of run 1 of task 9 of step 1 is "done"
    And the worker does not say when it was born

  # Guards against a record that one task's checkpoint makes too large for the store.
  Scenario: A checkpoint that is too long to be kept
    When a worker answers a hold with a checkpoint of 1025 bytes
    Then the run 2 of task 17 of step 1 has no checkpoint at 41 percent

  Scenario: What a worker holds that says when it was born
    When a worker answers a hold with
      """
      {"clockMs":713,"running":[],"ended":[],"born":1786085425402}
      """
    Then the worker was born at 1786085425402

  Scenario: An account that a worker gives of itself
    When the directory lists "i-7f3a91c2" as
      """
      {"service":"huvo11a","address":"10.128.0.9:8080","zone":"hala-sever","version":"v1","slots":8,"state":"draining","remainingMs":2500,"coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":1},"labels":["a","r1-3"],"clockMs":482113,"sequence":4}
      """
    Then the worker is at 10.128.0.9 port 8080, of kind "a" in rack "r1-3", draining with 2500 ms left
    And it has 16000 thousandths of processors, 32768 MiB and 1 accelerators

  Scenario: The operator's configuration
    When the configuration is read
      """
      {"version":7,"routes":[{"name":"r-3hwrr6x","host":"nony24.example","pathPrefix":"/lohu930/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"huvo11a","maxAttempts":3,"stretch":2.2,"advice":{"decideMs":896.0,"perItemMs":8.1,"validityMs":1500}},{"name":"r-9n73hh2","host":"nony24.example","pathPrefix":"/pule252/","type":"unsafe","timeoutMs":2500,"targetLatencyMs":250,"priority":0,"service":"huvo11a","maxAttempts":3,"stretch":1.5}],"services":[{"name":"huvo11a","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"admissionCheck":true,"spare":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
      """
    Then its version is 7
    And the queue "r-3hwrr6x" of "huvo11a" has priority 1, 3 attempts, stretch 2.2 and 1000 ms of target latency
    And its advice takes 896.0 ms and 8.1 ms an item, and holds 1500 ms
    And the queue "r-9n73hh2" needs no advice
    And the service "huvo11a" checks room
    And callers of "NONY24.example:80" at "/pule252/5c0e7a21d94b36f8" reach the queue "r-9n73hh2" within 2500 ms
    And callers of "nony24.example" at "/other/" reach no queue
    And heads may have 16384 bytes in 3000 ms, bodies 262144, and idle connections last 15000 ms

  Scenario: A configuration that cannot be read is a named error
    When the configuration is read
      """
      {"version":"seven"}
      """
    Then reading it fails, naming "version"

  Scenario: A call for advice
    When advice is asked on step 1 of job "5c0e7a21d94b36f8" about "i-7f3a91c2,i-2"
    Then the call is "POST /onyxspoke/advise" with the body
      """
      {"step":"5c0e7a21d94b36f8.0.1","workers":["i-7f3a91c2","i-2"]}
      """

  Scenario: The answer to a call for advice
    When the advice service answers with 200 and '{"good":[["i-7f3a91c2","c81e-7a21d94b"]],"validityMs":3000}'
    Then the ticket for "i-7f3a91c2" is "c81e-7a21d94b", for 3000 ms

  Scenario: The advice service is busy
    When the advice service answers with 429 and ''
    Then the advice outcome is "busy"

  Scenario: An append under all its conditions
    When the records "ab=c" and "d=" are appended to shard 3 at end 840 with epoch 841 and sequence 12
    Then the call is "POST /onyxspoke/log-append?topic=keyed.onyxspoke&part=3&producer=shard-3&epoch=841&sequence=12&at=840"
    And the call's body in hexadecimal is "00000004026162630000000201" then "64"

  Scenario Outline: Answers to an append
    When the store answers an append with <status> and '<body>'
    Then the append's outcome is "<outcome>" with end <end>

    Examples:
      | status | body                                | outcome         | end |
      | 200    | {"offset":840,"end":842}            | done            | 842 |
      | 409    | {"reason":"fenced"}                 | fenced          | -1  |
      | 409    | {"reason":"seq","sequence":4}       | out_of_sequence | -1  |
      | 412    | {"end":850}                         | moved           | 850 |
      | 429    |                                     | not_done        | -1  |
      | 503    |                                     | not_done        | -1  |
      | 507    |                                     | not_done        | -1  |
      | 400    | {}                                  | invalid         | -1  |
      | 0      |                                     | unknown         | -1  |

  Scenario: The newest records of a topic
    When the store answers a read of the newest records with
      """
      {"items":[{"privateKey":"config","value":"eyJhIjoxfQ==","offset":4}],"more":true,"end":6}
      """
    Then the page holds "config" with '{"a":1}', has more, and ends at 6

  Scenario: Records from an offset on
    When the store answers a read with the end 842, the first offset 0 and the keyed record "k=value"
    Then 1 record of key "k" with value "value" was read, and the end is 842

  Scenario: Records that are gone
    When the store answers a read with status 410
    Then the records are gone
