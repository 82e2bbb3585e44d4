Feature: Responses to callers during faults
  Guards the guarantees of docs/design.md, section 1.2, when real processes are killed, paused or disconnected.

  Scenario: Without the key-value service requests are served, but orders with an idempotency key are refused
    Given the key-value service is down
    And 5 seconds pass
    Then daemon 1 serves requests with a key
    And daemon 2 serves requests with a key
    And daemon 3 serves requests with a key
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

  Scenario: A daemon that is cut off from the platform learns of a withdrawal from its peers
    Given a second key that all daemons accept
    And daemon 3 is cut off from the platform
    And 3 seconds pass
    Then daemon 3 serves requests with a key
    When the second key is withdrawn and the withdrawal accepted
    Then daemon 3 stops accepting the second key within 2 seconds

  Scenario: A daemon that was paused during a withdrawal does not accept the key when it is resumed
    Given a second key that all daemons accept
    And daemon 2 is paused
    When the second key is withdrawn and the withdrawal accepted
    And 3 seconds pass
    And daemon 2 is resumed
    Then daemon 2 never accepts the second key
    And daemon 2 serves requests with a key

  Scenario: The same order sent to all daemons at once runs once
    When order "everywhere" with an idempotency key is sent to all daemons at once
    Then each response is the outcome or says that the call is in progress
    And the service has run order "everywhere" 1 time

  Scenario: An order whose response is lost ends as outcome_unknown and is not run again
    Given the service closes the next connection after running the call
    When order "lost" with an idempotency key is sent to daemon 1
    Then the order ends with outcome_unknown and notRun false
    When order "lost" with an idempotency key is sent to daemon 2
    Then the order ends with outcome_unknown and notRun false
    And the service has run order "lost" 1 time

  @new-site
  Scenario: An order runs at most once when the response to its claim is lost
    Given the key-value service drops every response
    When order "claim-lost" with an idempotency key is sent to daemon 1
    And the key-value service is up again
    And 1 seconds pass
    And order "claim-lost" with an idempotency key is sent to daemon 2
    Then the service has run order "claim-lost" at most 1 time

  @new-site
  Scenario: Streams resume at another engine after a crash
    Given the answer to a long prompt is known
    When streams of the same prompt run through daemons 1 and 2
    And engine 1 crashes
    Then every stream is complete, with no token missing or repeated

  @new-site
  Scenario: A drained daemon finishes its streams and is removed from the addresses
    Given the answer to a long prompt is known
    When streams of the same prompt run through daemons 1 and 2
    And daemon 2 is told to stop and exits with code 0
    Then every stream is complete, with no token missing or repeated
    And entry daemon 2 is no longer in the addresses of daemon 1

  @new-site
  Scenario: A daemon without any peer and without the platform refuses requests with a key
    Given daemon 1 is cut off from the platform
    And daemon 2 is killed
    And daemon 3 is killed
    And 3 seconds pass
    Then daemon 1 refuses requests with a key as not run
