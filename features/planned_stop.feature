Feature: A planned stop answers every request that a node has read

  # Requests that waited for a holder were cut off where all nodes stopped at the same time.
  Scenario Outline: All nodes are stopped, <gap> s apart, while clients keep sending
    Given a cell of <nodes> nodes with clients that send <rate> requests a second
    When the clients have sent for 2 seconds
    And every node is stopped, one every <gap> seconds, and started again when it has ended
    And the clients have sent for 14 seconds
    Then no request that was read is without an answer
    And every stopped process ended within the grace
    And the clients are served at the end

    Examples:
      | nodes | rate | gap  |
      | 6     | 40   | 0    |
      | 6     | 40   | 0.02 |
      | 6     | 40   | 1.25 |
      | 3     | 200  | 0    |
      | 1     | 20   | 0    |

  # Nobody held the shard where all nodes stopped, so that every request of these seconds was refused.
  Scenario Outline: Clients are served while all nodes stop, <gap> s apart
    Given a cell of <nodes> nodes with clients that send <rate> requests a second
    When the clients have sent for 2 seconds
    And every node is stopped, one every <gap> seconds, and started again when it has ended
    And the clients have sent for 14 seconds
    Then no request was refused before the first process ended
    And <refused> requests were refused at most
    And the last stopped process ended after another one had started again

    # A change of holder may refuse the requests of one second.  Connections to processes that are
    # being started are refused, and counted nowhere here.
    Examples:
      | nodes | rate | gap  | refused |
      | 6     | 40   | 0    | 40      |
      | 6     | 40   | 0.02 | 40      |
      | 6     | 40   | 1.25 | 0       |
      | 3     | 200  | 0    | 200     |
      | 2     | 40   | 1.25 | 40      |

  Scenario Outline: Whenever the stops of all nodes overlap, every call gets its reply - seed <seed>
    When overlapping stops of all nodes are played with seed <seed>, in <shards> shard(s)
    Then nothing that must hold is broken
    And at least 200 jobs were completed

    Examples:
      | seed | shards |
      | 2    | 1      |
      | 4    | 1      |
      | 6    | 1      |
      | 3    | 3      |

  Scenario: All nodes of an idle cell are stopped
    Given a cell of 3 nodes with clients that send 0 requests a second
    When every node is stopped, one every 0 seconds, and started again when it has ended
    And 2.8 seconds pass in the cluster
    Then every stopped process ended 2.6 to 2.7 seconds after the signal

  Scenario: A single node is stopped while clients keep sending
    Given a cell of 3 nodes with clients that send 40 requests a second
    When the clients have sent for 2 seconds
    And the holder is stopped, and started again when it has ended
    And the clients have sent for 6 seconds
    Then no request that was read is without an answer
    And no request was refused
    And every stopped process ended 2.6 to 2.7 seconds after the signal

  # Requests that a silent store held up were cut off as the process ended.
  Scenario Outline: Requests are answered though the store falls silent <seconds> s before all nodes are stopped
    Given a cell of 3 nodes with clients that send 20 requests a second
    When the clients have sent for 2 seconds
    Given the store is silent
    When the clients have sent for <seconds> seconds
    And every node is stopped, one every 0 seconds, and started again when it has ended
    And the clients have sent for 7 seconds
    Then no request that was read is without an answer
    And every stopped process ended within the grace

    Examples:
      | seconds |
      | 0       |
      | 2       |

  # The log told how many calls were open as a process ended, and neither which nor why.
  Scenario: The log names the calls that wait for a holder as a stop closes
    Given a cell of 3 nodes with clients that send 40 requests a second
    And the store is silent
    When the holder's process is killed
    And every node is stopped, one every 0 seconds, and started again when it has ended
    And the clients have sent for 7 seconds
    Then no request that was read is without an answer
    And the log names calls with "progress=not_sent" and "token=0", 20 for each stop at most

  # Requests with an unknown key waited for the newest configuration, and were cut off.
  Scenario: Requests whose keys cannot be judged are answered before the process ends
    Given a cell of 3 nodes with clients that send 20 requests a second with an unknown key
    And the store is silent
    When every node is stopped, one every 0 seconds, and started again when it has ended
    And the clients have sent for 7 seconds
    Then no request that was read is without an answer
    And every stopped process ended within the grace

  # Requests of which a part had arrived were cut off.
  Scenario: A request that arrived in part is answered before the process ends
    Given a cell of 3 nodes with clients that send 0 requests a second
    When a client sends the first half of a request
    And every node is stopped, one every 0 seconds, and started again when it has ended
    And 3 seconds pass in the cluster
    Then that request was answered with status 503, and told when to come back

  Scenario: A client that does not read its answer does not keep the process past the grace
    Given a cell of 3 nodes with clients that send 0 requests a second
    When a client that does not read sends a POST request
    And every node is stopped, one every 0 seconds, and started again when it has ended
    And 7 seconds pass in the cluster
    Then every stopped process ended within the grace

  # A client on a kept connection could send its next request while the process ended.
  Scenario: An answer given after the signal to stop ends a kept connection
    Given a cell of 3 nodes with clients that send 0 requests a second
    When a client sends a POST request
    And the node that has it is stopped
    And 0.5 seconds pass in the cluster
    Then that request's answer closes the connection

  Scenario: A stopping node that callers depend on stays until another node holds the shard
    Given a planned stop that is "serving", with a grace of 6 seconds
    Then 2.6 seconds after its signal, while it is needed, it is "serving"
    And 2.62 seconds after its signal, while it is needed, it is "serving"
    And 5.2 seconds after its signal, while it is needed, it is "serving"
    And 5.3 seconds after its signal, while it is needed, it is "ended"

  # A process that had been held up found no open call before it read the requests that had come.
  Scenario Outline: A node whose process is held up for <seconds> s as it stops answers what came meanwhile
    Given a cell of 1 nodes with clients that send 40 requests a second
    When the clients have sent for 2 seconds
    And every node is stopped, one every 0 seconds, and started again when it has ended
    And the clients have sent for 2.3 seconds
    And the holder's process is held up for <seconds> seconds, while the clients send
    And the clients have sent for 5 seconds
    Then no request that was read is without an answer

    Examples:
      | seconds |
      | 0.5     |
      | 1.2     |

  Scenario: A stopping node closes only once a second look, soon after the first, finds nothing open
    Given a planned stop that is "serving", with a grace of 6 seconds
    Then 2.58 seconds after its signal, with 0 calls and 1 connections open, it is "serving"
    And 3.7 seconds after its signal, with 0 calls and 1 connections open, it is "serving"
    And 3.72 seconds after its signal, with 1 calls and 1 connections open, it is "serving"
    And 3.74 seconds after its signal, with 0 calls and 1 connections open, it is "serving"
    And 3.76 seconds after its signal, with 0 calls and 1 connections open, it is "flushing"

  Scenario Outline: A stop that is "<phase>", <seconds> s after its signal, with <calls> calls open
    Given a planned stop that is "<phase>", with a grace of 6 seconds
    Then <seconds> seconds after its signal, with <calls> calls and <connections> connections open, it is "<next>"

    Examples:
      | phase    | seconds | calls | connections | next     |
      | serving  | 0       | 0     | 0           | serving  |
      | serving  | 2.5     | 0     | 0           | serving  |
      | serving  | 2.6     | 1     | 1           | serving  |
      | serving  | 2.6     | 0     | 1           | serving  |
      | serving  | 5.2     | 1     | 1           | serving  |
      | serving  | 5.3     | 1     | 1           | closing  |
      | closing  | 5.4     | 1     | 1           | closing  |
      | closing  | 5.4     | 0     | 1           | flushing |
      | closing  | 5.45    | 1     | 1           | flushing |
      | flushing | 5.6     | 0     | 1           | flushing |
      | flushing | 5.65    | 0     | 1           | ended    |
