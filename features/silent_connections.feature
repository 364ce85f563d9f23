Feature: Connections that fall silent, without a sign, cost little

  Scenario: Of kept connections that have fallen silent only one costs a call its time
    Given 4 kept connections to one address, each of which has carried a call
    When all of them fall silent, and a call is made with 0.2 seconds to go
    Then the call is not answered
    When the next call is made there
    Then it goes over a new connection

  Scenario: A kept connection that was heard since is no silent one
    Given 4 kept connections to one address, each of which has carried a call
    When one of them falls silent under a call with 0.2 seconds to go, and the others carry calls meanwhile
    Then the call is not answered
    When the next call is made there
    Then it goes over a kept connection

  Scenario Outline: All streams between nodes fall silent at once: <times> times
    Given a cluster of 5 nodes whose store takes 0 seconds an answer
    When jobs are handed in there for 2 seconds
    And all connections between nodes fall silent <times> times, 2.5 seconds apart, under jobs
    And jobs are handed in there for 3 seconds
    Then no job of the last 2 seconds was refused
    And every accepted job there was answered within 1.8 seconds
    And every job there was answered

    Examples:
      | times |
      | 1     |
      | 4     |

  Scenario: Without ending silent streams jobs are left without an answer
    Given a cluster of 5 nodes whose store takes 0 seconds an answer
    And its nodes never end a stream that is silent
    When jobs are handed in there for 2 seconds
    And all connections between nodes fall silent 1 times, 2.5 seconds apart, under jobs
    And jobs are handed in there for 3 seconds
    Then some job there was not answered

  Scenario: What was sent on a lost stream is sent again on the other one to the same node
    Given a cluster of 5 nodes whose store takes 0 seconds an answer
    And a node that has two streams with the holder
    When a job is handed in at that node, and the stream that carries it is lost on its way
    Then the job is accepted within 0.3 seconds
