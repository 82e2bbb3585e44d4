Feature: What callers see while parts fail
  Guards against the promises of docs/design.md, section 1.2, breaking when real processes are killed, paused or cut off.

  Scenario: Service goes on while the key-value service is down, and protected orders are refused
    Given the key-value service is down
    And 5 seconds pass
    Then daemon 1 serves keyed requests
    And daemon 2 serves keyed requests
    And daemon 3 serves keyed requests
    When order "down-1" with an idempotency key is sent to daemon 1
    Then the order ends with call_not_run and notRun true
    And the service has run order "down-1" 0 times
    When order "down-2" without an idempotency key is sent to daemon 2
    Then the order is answered
    And the service has run order "down-2" 1 time
    When the key-value service is up again
    And order "down-1" with an idempotency key is sent to daemon 2
    Then the order is answered
    And the service has run order "down-1" 1 time

  Scenario: A daemon that is cut off from the platform hears of a withdrawal from its peers
    Given a second key that all daemons accept
    And daemon 3 is cut off from the platform
    And 3 seconds pass
    Then daemon 3 serves keyed requests
    When the second key is withdrawn and the withdrawal accepted
    Then daemon 3 stops accepting the second key within 2 seconds

  Scenario: A daemon that was paused during a withdrawal does not serve the key when it goes on
    Given a second key that all daemons accept
    And daemon 2 is paused
    When the second key is withdrawn and the withdrawal accepted
    And 3 seconds pass
    And daemon 2 goes on
    Then daemon 2 never accepts the second key
    And daemon 2 serves keyed requests

  Scenario: The same order through all daemons at once runs once
    When order "everywhere" with an idempotency key is sent to all daemons at once
    Then each answer is the outcome or names the running call
    And the service has run order "everywhere" 1 time

  Scenario: An order whose answer is lost is unknown and is not run again
    Given the service closes the next connection after running the call
    When order "lost" with an idempotency key is sent to daemon 1
    Then the order ends with outcome_unknown and notRun false
    When order "lost" with an idempotency key is sent to daemon 2
    Then the order ends with outcome_unknown and notRun false
    And the service has run order "lost" 1 time

  @new-site
  Scenario: An order whose claim lost its answer runs at most once
    Given the key-value service loses every answer
    When order "claim-lost" with an idempotency key is sent to daemon 1
    And the key-value service is up again
    And 1 seconds pass
    And order "claim-lost" with an idempotency key is sent to daemon 2
    Then the service has run order "claim-lost" at most 1 time

  @new-site
  Scenario: Streams go on at another engine after a crash
    Given the answer to a long prompt is known
    When streams of the same prompt run through daemons 1 and 2
    And engine 1 crashes
    Then every stream is complete, with no token missing or repeated

  @new-site
  Scenario: A drained daemon finishes its streams and leaves the addresses
    Given the answer to a long prompt is known
    When streams of the same prompt run through daemons 1 and 2
    And daemon 2 is told to stop and ends with exit code 0
    Then every stream is complete, with no token missing or repeated
    And entry daemon 2 is no longer in the addresses of daemon 1

  @new-site
  Scenario: A daemon without any peer and without the platform refuses keyed requests
    Given daemon 1 is cut off from the platform
    And daemon 2 is killed
    And daemon 3 is killed
    And 3 seconds pass
    Then daemon 1 refuses keyed requests as not run
