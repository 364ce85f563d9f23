Feature: The advice queue under the load of a busy cell, simulated without a network

  The advice service handles one call per entry at a time, and a call takes longer the more workers
  it names. The scenarios simulate a load in virtual time, and check how long jobs wait.

  Scenario Outline: Steps of a low-priority queue run while gangs request advice on every worker - <choice>
    Given a cell of 299 workers and 30 entries
    When 7 gangs and 8 patient jobs per second are submitted for 20 seconds, and <choice>
    Then <share> of the patient steps start within 6 seconds
    And no entry handled two calls at the same time

    Examples:
      | choice                                       | share          |
      | calls name workers with free capacity        | nearly all     |
      | calls name the first hundred workers by name | less than half |

  Scenario: Short calls do not wait for long calls, however many entries the long calls occupy
    Given a cell of 120 workers and 30 entries
    When 4 gangs and 20 urgent jobs per second are submitted for 8 seconds, and calls name workers with free capacity
    Then nearly all of the urgent steps start within 0.3 seconds

  Scenario: Entries that short calls do not need carry long calls
    Given a cell of 120 workers and 30 entries
    When 7 gangs and 20 urgent jobs per second are submitted for 8 seconds, and calls name workers with free capacity
    Then more than half of the entries have carried calls about gangs

  Scenario: A flood submits half of all jobs while 11 of 31 entries are disconnected
    Given a cell of 350 large workers and 31 entries, simulated with and without fair shares
    When the usual load is submitted for 12 seconds, the same load over a tenant's share from second 2 on, and 11 entries are disconnected from second 3 to 8
    Then entitled patient steps wait for advice on average at most 0.7 times as long as without fair shares
    And the longest wait of an entitled urgent step for advice falls from over 0.4 seconds to under 0.15
    And the longest wait of an entitled patient step for advice falls from over 1.5 seconds to under 0.8
    And every step of the flood starts eventually

  Scenario: On a cell without contention, fair shares do not change the calls
    Given a cell of 350 large workers and 31 entries, simulated with and without fair shares
    When the usual load is submitted for 6 seconds
    Then both simulations made the same calls through the same entries at the same times

  Scenario: Steps that wait for capacity renew tickets once per validity, not each time that capacity becomes free
    Given a cell of 75 large workers and 31 entries, simulated with and without fair shares
    When eight tenths of the usual load, more than the cell's capacity, are submitted for 10 seconds
    Then patient steps make at most 0.6 times as many calls as without fair shares
    And patient jobs end sooner on average than without fair shares
    And urgent jobs end on average as soon as without fair shares

  Scenario: Two floods at once delay entitled steps no more than the limit
    Given a cell of 350 large workers and 31 entries, simulated with and without fair shares
    When the usual load is submitted for 10 seconds, and two floods, each of the same size over a tenant's share
    Then no entitled urgent step waits for advice longer than 0.1 seconds
    And no entitled patient step waits for advice longer than 0.3 seconds
    And entitled gang steps wait for advice on average at most 0.7 times as long as without fair shares

  Scenario: Entries that become slow carry fewer calls, so that entitled steps wait less
    Given a cell of 350 large workers and 31 entries, simulated with and without fair shares
    When the usual load is submitted for 10 seconds, and 11 entries take five times as long from second 2 on
    Then entitled patient steps wait for advice on average at most 0.7 times as long as without fair shares
    And entitled urgent steps wait for advice on average at most 1 times as long as without fair shares

  Scenario: The forecast wait for advice is close to the actual wait
    Given a cell of 350 large workers and 12 entries, simulated with and without fair shares
    When 20 urgent, 30 patient and 1 gang jobs per second are submitted for 8 seconds, and waits are forecast
    Then nearly all first calls start between half and twice the forecast wait, give or take 0.15 seconds
    And patient steps waited for advice for more than 1 second on average

  Scenario: A step that never fits does not block the steps behind it forever
    Given a cell of 20 large workers and 31 entries, simulated with and without fair shares
    When long runs occupy 19 of the workers, and 8 patient steps queue behind a step that fits no worker
    Then in both simulations the last worker runs patient tasks within 8 seconds
