Feature: Entries of the directory that are no worker's account of itself

  Other writers may leave entries in the directory of workers: fields missing or of another type, a
  state that the pages do not name, bytes that cannot be read. Such an entry names no worker to use;
  the others hold. Evidence: of 15 such entries the decoder as it was made 5 into workers to use.

  Scenario Outline: An entry that names no worker to use: <what>
    When the directory lists "i-1" with <change>
    Then no worker is named, because of "<fault>"

    Examples:
      | what                       | change                          | fault         |
      | an unknown state           | "state" as "resting"            | unknown_state |
      | no state                   | "state" left out                | unreadable    |
      | a state of another type    | "state" as 1                    | unreadable    |
      | an empty service           | "service" as ""                 | no_service    |
      | no service                 | "service" left out              | unreadable    |
      | an address without a port  | "address" as "10.128.0.9"       | no_address    |
      | port 0                     | "address" as "10.128.0.9:0"     | no_address    |
      | a port beyond all          | "address" as "10.128.0.9:70000" | no_address    |
      | a port that is no number   | "address" as "10.128.0.9:²"     | no_address    |
      | a host by name             | "address" as "worker:8080"      | no_address    |
      | no address                 | "address" left out              | unreadable    |
      | an address of another type | "address" as ["10.128.0.9"]     | unreadable    |
      | no zone                    | "zone" left out                 | unreadable    |
      | no version                 | "version" left out              | unreadable    |
      | slots of another type      | "slots" as "eight"              | unreadable    |
      | no capacity                | "capacity" left out             | unreadable    |
      | a capacity without memory  | "capacity" as {"cpu":16000}     | unreadable    |
      | processors below zero      | "capacity" as {"cpu":-1,"memMb":1}   | out_of_range |
      | a zone beyond all          | "zone" of 101 letters           | out_of_range  |
      | a service beyond all       | "service" of 101 letters        | out_of_range  |
      | a machine beyond all       | "machine" of 101 letters        | out_of_range  |
      | labels without end         | "labels" of 33 texts            | out_of_range  |
      | a label beyond all         | "labels" of 1 long text         | out_of_range  |
      | memory beyond any machine  | "capacity" as {"cpu":1,"memMb":1000000000000000000} | out_of_range |
      | a birth of another type    | "born" as "noon"                | unreadable    |
      | a birth that is no whole number | "born" as 7.5              | unreadable    |
      | a birth below zero         | "born" as -1                    | out_of_range  |
      | a birth beyond any time    | "born" as 100000000000000000    | out_of_range  |
      | labels of another type     | "labels" as "a"                 | unreadable    |
      | labels that are no texts   | "labels" as [1]                 | unreadable    |
      | a list                     | all of it as []                 | unreadable    |
      | nothing but a number       | all of it as 7                  | unreadable    |
      | a text cut off             | all of it as {"service":"huvo   | unreadable    |

  Scenario: A worker's own account names it
    When the directory lists "i-1" with "sequence" as 5
    Then a worker is named

  Scenario: No bytes make the decoder raise
    When any bytes, cut entries and entries with any fields are read, 400 of each
    Then each names a worker to use or has a fault

  Scenario Outline: No bytes make the decoder of <what> raise
    When answers with any bytes, cut ones and deeply nested ones are read as <what>, 300 of each
    Then none of them raised

    Examples:
      | what                      |
      | the newest records        |
      | the tail of a topic       |
      | an append                 |
      | what a worker holds       |
      | a worker's order          |
      | advice                    |
      | a configuration           |

  Scenario: What runs on a worker goes on when its entry is damaged
    Given a cell of 2 workers of 16 cores whose tasks take 1 second
    When 4 tasks of 2 cores are handed in
    And 0.3 seconds pass in that cell
    And the entries of both workers are damaged
    And 1 seconds pass in that cell
    And 4 more tasks of 2 cores are handed in
    And 6 seconds pass in that cell
    Then 4 of the 4 jobs are shown as completed
    And 4 tasks were started
    When the entries of both workers are written anew
    And 3 seconds pass in that cell
    Then 8 of the 8 jobs are shown as completed

  Scenario: A worker whose entry is damaged and which then crashes is settled as any other
    Given a cell of 2 workers of 16 cores whose tasks take 1 second
    When 4 tasks of 2 cores are handed in
    And 0.3 seconds pass in that cell
    And the entries of both workers are damaged
    And each worker that runs something crashes
    And 12 seconds pass in that cell
    Then 4 of the 4 jobs are shown as completed
