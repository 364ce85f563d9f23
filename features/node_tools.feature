Feature: The parts of a product around a node: interface, settings, logs, tools

  Scenario: The product's own interface hands in the same jobs
    Given a running cluster with the product's own interface
    When an operator posts to "/v1/queues/normal/jobs/00000000000000d1"
      """
      {"payload":"plan","steps":[{"task_count":2,"processors_milli":500,"memory_mb":64,"estimated_ms":300}]}
      """
    And 6 seconds pass in the cluster
    And an operator gets "/v1/jobs/00000000000000d1"
    And 0.5 seconds pass in the cluster
    Then the front's answer has status 200 and the field "state" is "completed"

  Scenario Outline: The product's own interface refuses with a code
    Given a running cluster with the product's own interface
    When an operator posts to "<path>" the body <body>
    Then the front's answer has status <status> and code <code>

    Examples:
      | path                                      | body                                        | status | code |
      | /v1/queues/nothing/jobs/00000000000000d1  | {"payload":"x","steps":[{"task_count":1}]}  | 404    | 212  |
      | /v1/queues/normal/jobs/00000000000000d1   | {"payload":"x","steps":[{"tasks":1}]}       | 400    | 200  |
      | /v1/queues/normal/jobs/zz                 | {"payload":"x","steps":[{"task_count":1}]}  | 400    | 200  |
      | /v1/queues/normal                         | {}                                          | 404    | 205  |

  Scenario: A node tells what it knows
    Given a running cluster with the product's own interface
    When an operator gets "/v1/status"
    Then the front's answer has status 200 and the field "is_ready" is "True"
    And it names 1 shard and its holder

  Scenario: Every fault of a settings file is named
    When the settings are read
      """
      nodeName=front-1
      ip=10.1.0.13
      zone=z
      bindAddresses.front=10.1.0.13
      bindAddresses.readiness=10.1.0.13:8167
      internalPortRange=7720,7721
      limits.cpuShare=much
      limits.cores=2
      platform.address=10.200.1.7:8169
      platform.parts=0
      """
    Then the settings' faults name
      | fault                                         |
      | internalPortRange: needs 3 ports              |
      | bindAddresses.front: expected HOST:PORT       |
      | limits.cpuShare: expected a number            |
      | platform.parts: 0 is not within 1             |
      | bounds.graceS: missing                        |
      | bounds.maxHoldMs: missing                     |
      | heartbeatMs: missing                          |
    And the file is named with each fault when it is read from disk

  Scenario Outline: A setting is found under any spelling of its name
    When a settings file is read whose store takes "<writes>" and "<reads>"
    Then the store is known to take 800 writes and 2000 reads a second
    And no default was taken

    Examples:
      | writes                     | reads                      |
      | platform.writes_per_s=800  | platform.reads_per_s=2000  |
      | platform.writesPerS=800    | platform.readsPerS=2000    |
      | platform.WritesPer_s=800   | PLATFORM.READS_PER_S=2000  |

  Scenario: Two spellings of one name that disagree are a fault that names both
    When a settings file is read whose store takes "platform.writes_per_s=800" and "platform.writesPerS=600"
    Then the settings' faults name
      | fault                                                          |
      | platform.writes_per_s: '800', but platform.writesPerS says '600' |

  Scenario: Two spellings of one name that agree are no fault
    When a settings file is read whose store takes "platform.writes_per_s=800" and "platform.writesPerS=800"
    Then the settings are valid

  Scenario: A setting with a sensible default is not fatal when missing
    When a settings file is read whose store takes "" and ""
    Then the store is known to take 600 writes and 2000 reads a second
    And the defaults taken name
      | warning                                |
      | platform.writes_per_s: missing, 600.0  |
      | platform.reads_per_s: missing, 2000.0  |

  Scenario: A whole settings file is read, and what is not known is passed over
    When the settings are read
      """
      nodeName=front-hala-sever-1
      ip=10.1.0.13
      zone=hala-sever
      bindAddresses.front=10.1.0.13:8161
      bindAddresses.readiness=10.1.0.13:8167
      internalPortRange=7720,7735
      seeds=10.1.0.13:8166,10.2.0.30:8166
      limits.cpuShare=0.537
      limits.cores=2
      heartbeatMs=1500
      bounds.graceS=6
      bounds.maxHoldMs=6000
      bounds.stopGraceMs=200
      bounds.status_s=120
      advice=10.200.1.9:8169
      platform.address=10.200.1.7:8169
      platform.parts=24
      platform.writes_per_s=600
      platform.reads_per_s=2000
      platform.record_bytes=262144
      platform.call_bytes=2097152
      cloudApi.address=10.200.0.79:8169
      unknown.field=7
      """
    Then the node "front-hala-sever-1" has peers at port 7720, metrics at 9464 and seeds "10.1.0.13,10.2.0.30"

  Scenario Outline: Peers are told an address only where the settings name one, and the node listens at its own
    When a settings file is read with the lines "<lines>"
    Then the node listens for peers at "10.1.0.13:7720" and tells them "<told>"
    And its connections come from "<source>"

    Examples:
      | lines                                        | told            | source    |
      |                                              | 10.1.0.13:7720  |           |
      | advertised=192.0.2.7:9720                    | 192.0.2.7:9720  |           |
      | connectFromIp=true                           | 10.1.0.13:7720  | 10.1.0.13 |
      | Advertised=192.0.2.7:9720 connect_from_ip=False | 192.0.2.7:9720 |          |

  Scenario Outline: An address to tell that no peer can connect to is refused, beside every other fault
    When a settings file is read with the lines "platform.parts=0 <lines>"
    Then the settings' faults name
      | fault                             |
      | platform.parts: 0 is not within 1 |
      | <fault>                           |

    Examples:
      | lines                            | fault                                                |
      | advertised=192.0.2.7             | advertised: expected HOST:PORT                       |
      | advertised=192.0.2.7:0           | advertised: expected HOST:PORT                       |
      | advertised=192.0.2.7:70000       | advertised: expected HOST:PORT                       |
      | advertised=0.0.0.0:9720          | advertised: expected IPV4:PORT of one host           |
      | advertised=239.1.2.3:9720        | advertised: expected IPV4:PORT of one host           |
      | advertised=255.255.255.255:9720  | advertised: expected IPV4:PORT of one host           |
      | advertised=front-1.example:9720  | advertised: expected IPV4:PORT of one host           |
      | connectFromIp=yes                | connectFromIp: expected true or false, got 'yes'     |
      | connectFromIp=true ip=front-1    | ip: expected the IPv4 address of one host            |

  Scenario: Peers connect to the address that a node tells them
    Given node "a" at "10.1.0.13:7720" that tells "192.0.2.7:9720"
    And node "b" at "10.1.0.14:7720" that tells "10.1.0.14:7720"
    When node "a" connects to "10.1.0.14:7720"
    Then node "b" knows node "a" at "192.0.2.7:9720"
    When node "b" connects to where it knows node "a"
    Then node "b" reaches node "a" on a connection that it opened to "192.0.2.7:9720"

  Scenario Outline: A node that is among its own seeds does not connect to itself
    Given node "a" at "10.1.0.13:7720" that tells "192.0.2.7:9720"
    When node "a" connects to "<seed>"
    Then node "a" has opened no connection

    Examples:
      | seed           |
      | 192.0.2.7:9720 |
      | 10.1.0.13:7720 |

  Scenario: A log never blocks, and says what it dropped
    Given a log stream to a pipe that nobody reads
    When 20000 lines of 100 bytes are written at once
    Then the writer was not held up, and at most 3000 lines were taken
    When the pipe is read and 10 seconds pass
    Then the log says how many lines it dropped

  Scenario: Lines of single runs, when there are too many, leave room for lines of jobs
    Given a log stream to a pipe that nobody reads
    When 20000 lines of runs and then 400 lines of jobs are written at once
    Then all lines of jobs were taken, and the writer left out lines of runs only

  Scenario: Many lines at once are written as pieces that a pipe takes whole
    Given a log stream whose every write is seen by itself
    When 200 lines of 100 bytes are written at once
    Then all 200 lines came, in writes of whole lines and at most 4096 bytes

  # The lines of a quiet node were written only at its end, and lost if it was killed.
  Scenario: Lines that came before the log had somebody to write them do not wait
    Given a log stream to a pipe that nobody reads
    When 3 lines are written, and only then it is told how to be drained
    Then it asks to be drained once

  Scenario: A log that the process closes as it ends has written everything
    Given a log stream to a pipe that nobody reads
    When 3 lines of 100 bytes are written and the logging library closes the stream
    Then the pipe holds 3 lines

  Scenario: One name is followed through the logs of several nodes
    Given logs of two nodes
      """
      time=2026-12-02T12:00:01.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1
      time=2026-12-02T12:00:03.000Z level=info process=b event=run_adopted shard=0 task=00000000000000e1.0.0.0
      time=2026-12-02T12:00:02.000Z level=info process=a event=stopping requests=0
      time=2026-12-02T12:00:02.500Z level=info process=b event=job_taken shard=0 job=00000000000000e2
      a line that is none of ours
      """
    When "00000000000000e1" is explained with changes of belief
    Then the events shown are "job_taken stopping run_adopted"

  Scenario: What fills is slowed before what serves is over its target for long
    When a serving task with target 100 ms runs for 30 seconds beside 3 tasks that fill and disturb
    Then its tail is never over the target for 4 seconds in a row
    And what fills gets some work done

  Scenario: A worker that fails everything is avoided after two jobs, then tried again
    Given a worker's record of its runs
    When runs of the jobs "a" and "b" fail there
    Then it is avoided for 1.5 seconds, and then on trial
    When a run ends well there
    Then it is neither avoided nor on trial

  Scenario: Timers run on the clock since the machine's start, whatever the time of day does
    When the reactor of a process is set up
    Then its timers run on the clock that counts suspensions

  Scenario: Nothing outside the adapter knows the platform's names
    When the sources outside the adapter are searched for the platform's names
    Then none is found
