Feature: Job reports from logs show how jobs spent their time

  Scenario: A job waits for advice, for free capacity and for a new holder
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=scans steps=1 tasks=1 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.020Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:00.820Z level=info process=a event=advice shard=0 step=00000000000000e1.0.0 good=1 asked=8
      time=2026-12-02T12:00:03.820Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e9.0.0.0 run=1 state=running how=done number=6
      time=2026-12-02T12:00:05.320Z level=info process=b event=state_restored shard=0 jobs=1 records=3
      time=2026-12-02T12:00:05.820Z level=info process=b event=recovery_complete shard=0 workers=3
      time=2026-12-02T12:00:05.820Z level=info process=b event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=4096
      time=2026-12-02T12:00:07.820Z level=info process=b event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=4096 state=running how=done number=7
      time=2026-12-02T12:00:07.840Z level=info process=b event=job_ended shard=0 job=00000000000000e1 state=completed seconds=7.8
      """
    When the logs are analyzed
    Then job "00000000000000e1" was "late"
    And the seconds by phase are
      | record | advice | room | takeover | lost_runs | work | shown |
      | 0.02   | 0.80   | 3.00 | 2.00     | 0.00      | 2.00 | 0.02  |

  Scenario: A run fails, and a step waits for another step
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=forms steps=2 tasks=2 stretch=3.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.100Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:00.100Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=1
      time=2026-12-02T12:00:00.600Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=1 state=running how=failed number=1
      time=2026-12-02T12:00:00.700Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=2
      time=2026-12-02T12:00:01.200Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=2 state=running how=done number=2
      time=2026-12-02T12:00:01.300Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.1.0 run=3
      time=2026-12-02T12:00:02.300Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.1.0 run=3 state=running how=done number=3
      time=2026-12-02T12:00:02.300Z level=info process=a event=job_ended shard=0 job=00000000000000e1 state=completed seconds=2.3
      """
    When the logs are analyzed
    Then job "00000000000000e1" was "met"
    And the seconds by phase are
      | record | advice | room | takeover | attempts | lost_runs | work | shown |
      | 0.10   | 0.00   | 0.20 | 0.00     | 0.50     | 0.00      | 1.50 | 0.00  |

  Scenario: The logs contain a refused job, an unfinished job and a truncated line
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_refused shard=0 job=00000000000000e1 reason=store_in_trouble
      time=2026-12-02T12:00:01.000Z level=info process=a event=job_taken shard=0 job=00000000000000e2 queue=forms steps=2 tasks=2 stretch=3.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:02.000Z level=info process=a event=run_start shard=0 task=00000000000000e2.0
      """
    When the logs are analyzed
    Then job "00000000000000e1" was "refused"
    And job "00000000000000e2" was "open"
    And 1 line was truncated

  Scenario: The account command prints the reports as tables
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=forms steps=1 tasks=1 stretch=1.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:04.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:04.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=1
      time=2026-12-02T12:00:05.000Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:05.000Z level=info process=a event=job_ended shard=0 job=00000000000000e1 state=completed seconds=5.0
      """
    When an operator runs the account command on the logs
    Then the command succeeds and prints "forms", "00000000000000e1" and "record=1"

  Scenario: One job waits for its tenant's quota, and another job's tenant is over its share
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=1.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e2 queue=forms tenant=two beyond_share=1 steps=1 tasks=1 stretch=1.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e2
      time=2026-12-02T12:00:04.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=1 quota_ms=3000
      time=2026-12-02T12:00:05.000Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:05.000Z level=info process=a event=job_ended shard=0 job=00000000000000e1 state=completed seconds=5.0
      time=2026-12-02T12:00:06.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e2.0.0.0 run=1 quota_ms=0
      time=2026-12-02T12:00:07.000Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e2.0.0.0 run=1 state=running how=done number=2
      time=2026-12-02T12:00:07.000Z level=info process=a event=job_ended shard=0 job=00000000000000e2 state=completed seconds=7.0
      """
    When the logs are analyzed
    Then job "00000000000000e1" was "late"
    And the seconds by phase are
      | quota | room | work |
      | 3.00  | 1.00 | 1.00 |
    Then job "00000000000000e2" was "late"
    And the seconds by phase are
      | share | work |
      | 6.00  | 1.00 |
    When an operator runs the account command on the logs
    Then the command succeeds and prints "tenant", "two" and "quota=1"

  Scenario: A run far slower than the other runs of its step does not raise the objective
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=forms tenant=one beyond_share=0 steps=1 tasks=3 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.020Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:00.020Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=1
      time=2026-12-02T12:00:00.020Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.1 run=1
      time=2026-12-02T12:00:00.020Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.2 run=1
      time=2026-12-02T12:00:01.020Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:01.120Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.1 run=1 state=running how=done number=1
      time=2026-12-02T12:00:07.020Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.2 run=1 state=running how=done number=1
      time=2026-12-02T12:00:07.040Z level=info process=a event=job_ended shard=0 job=00000000000000e1 state=completed seconds=1.0
      """
    When the logs are analyzed
    Then job "00000000000000e1" was "late"
    And the objective of the job was 3.20 s
    And the phase that exceeded its expected time most was "work", by 5.95 s
    And the seconds by phase are
      | record | room | work | shown |
      | 0.02   | 0.00 | 7.00 | 0.02  |
    When an operator runs the account command on the logs
    Then the command succeeds and prints "work=1", "1/6.0" and "forms"

  Scenario: The objective of a single run follows from the caller's estimate and the advice call
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 estimated_ms=1000 stretch=2.0 target_ms=1000 advice_ms=500 policy=5
      time=2026-12-02T12:00:00.020Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:00.620Z level=info process=a event=advice shard=0 step=00000000000000e1.0.0 good=1 asked=8
      time=2026-12-02T12:00:00.620Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=1
      time=2026-12-02T12:00:06.620Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:06.620Z level=info process=a event=job_ended shard=0 job=00000000000000e1 state=completed seconds=1.0
      """
    When the logs are analyzed
    Then job "00000000000000e1" was "late"
    And the objective of the job was 4.00 s
    And the phase that exceeded its expected time most was "work", by 5.00 s

  Scenario: A slow worker does not raise the objective of its jobs
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000a0 queue=forms tenant=one beyond_share=0 steps=1 tasks=3 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_accepted shard=0 job=00000000000000a0
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w0 task=00000000000000a0.0.0.0 run=1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w1 task=00000000000000a0.0.0.1 run=1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w2 task=00000000000000a0.0.0.2 run=1
      time=2026-12-02T12:00:01.000Z level=info process=a event=run_ended shard=0 worker=w0 task=00000000000000a0.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:01.200Z level=info process=a event=run_ended shard=0 worker=w1 task=00000000000000a0.0.0.1 run=1 state=running how=done number=1
      time=2026-12-02T12:00:04.000Z level=info process=a event=run_ended shard=0 worker=w2 task=00000000000000a0.0.0.2 run=1 state=running how=done number=1
      time=2026-12-02T12:00:04.000Z level=info process=a event=job_ended shard=0 job=00000000000000a0 state=completed seconds=1.0
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000a1 queue=forms tenant=one beyond_share=0 steps=1 tasks=3 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_accepted shard=0 job=00000000000000a1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w0 task=00000000000000a1.0.0.0 run=1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w1 task=00000000000000a1.0.0.1 run=1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w2 task=00000000000000a1.0.0.2 run=1
      time=2026-12-02T12:00:01.000Z level=info process=a event=run_ended shard=0 worker=w0 task=00000000000000a1.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:01.200Z level=info process=a event=run_ended shard=0 worker=w1 task=00000000000000a1.0.0.1 run=1 state=running how=done number=1
      time=2026-12-02T12:00:04.000Z level=info process=a event=run_ended shard=0 worker=w2 task=00000000000000a1.0.0.2 run=1 state=running how=done number=1
      time=2026-12-02T12:00:04.000Z level=info process=a event=job_ended shard=0 job=00000000000000a1 state=completed seconds=1.0
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000a2 queue=forms tenant=one beyond_share=0 steps=1 tasks=3 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_accepted shard=0 job=00000000000000a2
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w0 task=00000000000000a2.0.0.0 run=1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w1 task=00000000000000a2.0.0.1 run=1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w2 task=00000000000000a2.0.0.2 run=1
      time=2026-12-02T12:00:01.000Z level=info process=a event=run_ended shard=0 worker=w0 task=00000000000000a2.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:01.200Z level=info process=a event=run_ended shard=0 worker=w1 task=00000000000000a2.0.0.1 run=1 state=running how=done number=1
      time=2026-12-02T12:00:04.000Z level=info process=a event=run_ended shard=0 worker=w2 task=00000000000000a2.0.0.2 run=1 state=running how=done number=1
      time=2026-12-02T12:00:04.000Z level=info process=a event=job_ended shard=0 job=00000000000000a2 state=completed seconds=1.0
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000a3 queue=forms tenant=one beyond_share=0 steps=1 tasks=3 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_accepted shard=0 job=00000000000000a3
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w0 task=00000000000000a3.0.0.0 run=1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w1 task=00000000000000a3.0.0.1 run=1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w2 task=00000000000000a3.0.0.2 run=1
      time=2026-12-02T12:00:01.000Z level=info process=a event=run_ended shard=0 worker=w0 task=00000000000000a3.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:01.200Z level=info process=a event=run_ended shard=0 worker=w1 task=00000000000000a3.0.0.1 run=1 state=running how=done number=1
      time=2026-12-02T12:00:04.000Z level=info process=a event=run_ended shard=0 worker=w2 task=00000000000000a3.0.0.2 run=1 state=running how=done number=1
      time=2026-12-02T12:00:04.000Z level=info process=a event=job_ended shard=0 job=00000000000000a3 state=completed seconds=1.0
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000a4 queue=forms tenant=one beyond_share=0 steps=1 tasks=3 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_accepted shard=0 job=00000000000000a4
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w0 task=00000000000000a4.0.0.0 run=1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w1 task=00000000000000a4.0.0.1 run=1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w2 task=00000000000000a4.0.0.2 run=1
      time=2026-12-02T12:00:01.000Z level=info process=a event=run_ended shard=0 worker=w0 task=00000000000000a4.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:01.200Z level=info process=a event=run_ended shard=0 worker=w1 task=00000000000000a4.0.0.1 run=1 state=running how=done number=1
      time=2026-12-02T12:00:04.000Z level=info process=a event=run_ended shard=0 worker=w2 task=00000000000000a4.0.0.2 run=1 state=running how=done number=1
      time=2026-12-02T12:00:04.000Z level=info process=a event=job_ended shard=0 job=00000000000000a4 state=completed seconds=1.0
      time=2026-12-02T12:00:10.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:10.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:10.000Z level=info process=a event=run_start shard=0 worker=w2 task=00000000000000e1.0.0.0 run=1
      time=2026-12-02T12:00:20.000Z level=info process=a event=run_ended shard=0 worker=w2 task=00000000000000e1.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:20.000Z level=info process=a event=job_ended shard=0 job=00000000000000e1 state=completed seconds=1.0
      """
    When the logs are analyzed
    Then job "00000000000000e1" was "late"
    And the objective of the job was 7.00 s
    And the phase that exceeded its expected time most was "work", by 7.00 s

  Scenario: Attempts fail on a worker where other jobs fail too, and a run is lost with its worker
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=1.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=bad task=00000000000000e1.0.0.0 run=1
      time=2026-12-02T12:00:02.000Z level=info process=a event=run_ended shard=0 worker=bad task=00000000000000e1.0.0.0 run=1 state=running how=failed number=1
      time=2026-12-02T12:00:02.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=2
      time=2026-12-02T12:00:04.500Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=2 state=running how=failed number=2
      time=2026-12-02T12:00:04.500Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=3
      time=2026-12-02T12:00:05.500Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=3 state=running how=done number=3
      time=2026-12-02T12:00:05.500Z level=info process=a event=job_ended shard=0 job=00000000000000e1 state=completed seconds=1.0
      time=2026-12-02T12:00:02.000Z level=info process=a event=job_taken shard=0 job=00000000000000e3 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:02.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e3
      time=2026-12-02T12:00:02.000Z level=info process=a event=run_start shard=0 worker=bad task=00000000000000e3.0.0.0 run=1
      time=2026-12-02T12:00:02.500Z level=info process=a event=run_ended shard=0 worker=bad task=00000000000000e3.0.0.0 run=1 state=running how=failed number=1
      time=2026-12-02T12:00:10.000Z level=info process=a event=job_taken shard=0 job=00000000000000e2 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=1.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:10.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e2
      time=2026-12-02T12:00:10.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e2.0.0.0 run=1
      time=2026-12-02T12:00:13.000Z level=info process=a event=run_abandoned shard=0 worker=w task=00000000000000e2.0.0.0 run=1 state=running reason=gone seen_ms=5
      time=2026-12-02T12:00:14.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e2.0.0.0 run=2
      time=2026-12-02T12:00:15.000Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e2.0.0.0 run=2 state=running how=done number=2
      time=2026-12-02T12:00:15.000Z level=info process=a event=job_ended shard=0 job=00000000000000e2 state=completed seconds=1.0
      """
    When the logs are analyzed
    Then job "00000000000000e1" was "late"
    And the objective of the job was 4.50 s
    And the phase that exceeded its expected time most was "attempts", by 2.00 s
    And the seconds by phase are
      | attempts | work |
      | 4.50     | 1.00 |
    Then job "00000000000000e2" was "late"
    And the phase that exceeded its expected time most was "lost_runs", by 3.00 s

  Scenario: Callers submit again after a refusal
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_refused shard=0 job=00000000000000e1 reason=store_in_trouble
      time=2026-12-02T12:00:00.002Z level=info process=b event=call_given_up shard=0 call=submit job=00000000000000e1 queue=forms code=refused reason=store_in_trouble seconds=0.002
      time=2026-12-02T12:00:01.500Z level=info process=b event=call_given_up shard=0 call=submit job=00000000000000e1 queue=forms code=refused reason=no_holder seconds=0.500
      time=2026-12-02T12:00:03.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=1.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:03.100Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:03.100Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=1
      time=2026-12-02T12:00:04.100Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:04.100Z level=info process=a event=job_ended shard=0 job=00000000000000e1 state=completed seconds=1.0
      time=2026-12-02T12:00:10.000Z level=info process=a event=job_taken shard=0 job=00000000000000e2 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=1.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:10.400Z level=info process=a event=job_refused shard=0 job=00000000000000e2 reason=store_in_trouble
      time=2026-12-02T12:00:12.000Z level=info process=a event=job_taken shard=0 job=00000000000000e2 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=1.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:12.100Z level=info process=a event=job_accepted shard=0 job=00000000000000e2
      time=2026-12-02T12:00:12.100Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e2.0.0.0 run=1
      time=2026-12-02T12:00:13.100Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e2.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:13.100Z level=info process=a event=job_ended shard=0 job=00000000000000e2 state=completed seconds=1.0
      """
    When the logs are analyzed
    Then job "00000000000000e1" was "late"
    And the job was refused 2 times
    And the phase that exceeded its expected time most was "returned", by 3.00 s
    And the seconds by phase are
      | returned | record | work |
      | 3.00     | 0.10   | 1.00 |
    Then job "00000000000000e2" was "late"
    And the job was refused 1 times
    And the seconds by phase are
      | returned | record | work |
      | 2.00     | 0.10   | 1.00 |

  Scenario: Jobs with missing log lines are distinguished from unfinished jobs
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=1
      time=2026-12-02T12:00:01.000Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e2 queue=forms tenant=one beyond_share=0 steps=1 tasks=2 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e2
      time=2026-12-02T12:00:00.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e2.0.0.0 run=1
      time=2026-12-02T12:00:01.000Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e2.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:02.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e3
      time=2026-12-02T12:00:02.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e3.0.0.0 run=1
      time=2026-12-02T12:00:03.000Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e3.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:03.000Z level=info process=a event=job_ended shard=0 job=00000000000000e3 state=completed seconds=1.0
      time=2026-12-02T12:00:02.000Z level=info process=a event=job_taken shard=0 job=00000000000000e4 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:02.000Z level=info process=a event=run_start shard=0 worker=w time=2026-12-02T12:00:09.000Z level=info process=a event=job_taken shard=0 job=00000000000000e5 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:13.000Z level=info process=a event=job_taken shard=0 job=00000000000000e6 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:13.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e6.0.0.0 run=1
      time=2026-12-02T12:00:09.000Z level=info process=a event=job_taken shard=0 job=00000000000000e7 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:09.020Z level=info process=a event=job_accepted shard=0 job=00000000000000e7
      time=2026-12-02T12:00:09.020Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e7.0.0.0 run=1
      time=2026-12-02T12:00:14.000Z level=info process=a event=job_ended shard=0 job=00000000000000e7 state=completed seconds=5.0
      time=2026-12-02T12:00:09.000Z level=info process=a event=job_taken shard=0 job=00000000000000e8 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:12.000Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e8.0.0.0 run=1 state=running how=done number=9
      event=log_lines_dropped count=7
      """
    When the logs are analyzed
    Then job "00000000000000e1" was "cut_off"
    And job "00000000000000e2" was "open"
    And job "00000000000000e3" was "cut_off"
    And job "00000000000000e4" was "open"
    And job "00000000000000e5" was "open"
    And job "00000000000000e6" was "open"
    And job "00000000000000e7" was "cut_off"
    And job "00000000000000e8" was "cut_off"
    And 1 line was truncated
    And 7 lines were dropped

  Scenario: The logs contain no job
    Given the logs of several nodes
      """
      not a log line of onyxspoke
      """
    When an operator runs the account command on the logs
    Then the command fails and says "no job in these logs"
