Feature: The callers' HTTP interface
  Guards against endpoints that respond with the wrong status, an untyped error or a false "not run".

  Scenario: Addresses name both daemons, the nearest zone first
    Given a caller without a key
    When it sends GET /v1/addresses
    Then the status is 200
    And the body contains "timeToLiveSeconds"
    And the body contains "zone-a"
    And the body contains "zone-b"

  Scenario: An invalid zone name is refused
    Given a caller without a key
    When it sends GET /v1/addresses?zone=a/b
    Then it is refused with 400 invalid_request as not run

  Scenario Outline: Health, readiness and metrics need no key
    Given a caller without a key
    When it sends GET <path>
    Then the status is 200

    Examples:
      | path     |
      | /healthz |
      | /readyz  |
      | /metrics |

  Scenario: A chat completion without streaming
    Given a caller with a valid key
    When it sends POST /v1/chat/completions with '{"model":"assistant","messages":[{"role":"user","content":"May the box travel?"}],"max_tokens":8}'
    Then the status is 200
    And the body contains "chat.completion"
    And the body contains "usage"

  Scenario: A chat completion is streamed up to [DONE]
    Given a caller with a valid key
    When it sends POST /v1/chat/completions with '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"May the box travel?"}],"max_tokens":8}'
    Then the status is 200
    And the answer has the header "Content-Type" with "text/event-stream"
    And the body contains "chat.completion.chunk"
    And the body contains "data: [DONE]"

  Scenario: A text completion is answered
    Given a caller with a valid key
    When it sends POST /v1/completions with '{"model":"assistant","prompt":"Cell 7 reads 3.1 V","max_tokens":4}'
    Then the status is 200
    And the body contains "text_completion"

  Scenario: Models are listed
    Given a caller with a valid key
    When it sends GET /v1/models
    Then the status is 200
    And the body contains "assistant"

  Scenario: A request without a key is refused
    Given a caller without a key
    When it sends POST /v1/chat/completions with '{"model":"assistant","messages":[{"role":"user","content":"x"}]}'
    Then it is refused with 401 invalid_key as not run
    And the answer has the header "WWW-Authenticate" with "Bearer"

  Scenario Outline: An invalid key is refused on every kind of path, open routes included
    Given a caller with the key "<key>"
    When it sends <method> <path>
    Then it is refused with 401 invalid_key as not run

    Examples:
      | key                | method | path                  |
      | nonsense           | GET    | /v1/models            |
      | bk_unknown_0123456 | GET    | /v1/models            |
      | bk_unknown_0123456 | GET    | /services/orders/open |
      | bk_unknown_0123456 | GET    | /v1/calls/orders/one  |

  Scenario: Malformed JSON is refused
    Given a caller with a valid key
    When it sends POST /v1/chat/completions with '{"model":'
    Then it is refused with 400 malformed_json as not run

  Scenario: A missing field is refused
    Given a caller with a valid key
    When it sends POST /v1/chat/completions with '{"model":"assistant"}'
    Then it is refused with 400 invalid_request as not run

  Scenario: An unknown model is refused
    Given a caller with a valid key
    When it sends POST /v1/chat/completions with '{"model":"other","messages":[{"role":"user","content":"x"}]}'
    Then it is refused with 404 unknown_model as not run

  Scenario: A method that the path does not allow is refused
    Given a caller with a valid key
    When it sends GET /v1/chat/completions
    Then it is refused with 405 method_not_allowed as not run
    And the answer has the header "Allow" with "POST"

  Scenario: An unknown path is refused
    Given a caller with a valid key
    When it sends GET /v2/nothing
    Then it is refused with 404 not_found as not run

  Scenario: An oversized prompt is refused
    Given a caller with a valid key
    When it sends a chat with a prompt of 8000 characters
    Then it is refused with 400 prompt_too_large as not run

  Scenario: An oversized body is refused
    Given a caller with a valid key
    When it sends a chat with a prompt of 70000 characters
    Then it is refused with 413 body_too_large as not run

  Scenario: Oversized headers are refused
    Given a caller with a valid key
    And a header of 20000 bytes
    When it sends GET /v1/models
    Then it is refused with 431 headers_too_large as not run

  Scenario: A key in the path or the body is refused
    Given a caller with a valid key
    When it sends POST /services/orders/pack?key=THE-KEY with '{"orderId":"exposed"}'
    Then it is refused with 400 key_exposed as not run
    When it sends POST /services/orders/pack with '{"orderId":"exposed","key":"THE-KEY"}'
    Then it is refused with 400 key_exposed as not run
    And the service has run order "exposed" 0 times

  Scenario: An order with an idempotency key runs once
    Given a caller with a valid key
    And the header "Idempotency-Key" is "pack-1"
    When it sends POST /services/orders/pack with '{"orderId":"pack-1"}'
    Then the status is 200
    When it sends POST /services/orders/pack with '{"orderId":"pack-1"}'
    Then the status is 200
    And the service has run order "pack-1" 1 time
    When it sends POST /services/orders/pack with '{"orderId":"pack-2"}'
    Then it is refused with 422 idempotency_key_reused as not run
    When it sends GET /v1/calls/orders/pack-1
    Then the status is 200

  Scenario: An unknown call and an unknown service are refused
    Given a caller with a valid key
    When it sends GET /v1/calls/orders/never-sent
    Then it is refused with 404 unknown_call as not run
    When it sends GET /services/nothing/path
    Then it is refused with 404 unknown_service as not run

  Scenario: An open route needs no key, the other routes of the service do
    Given a caller without a key
    When it sends GET /services/orders/open/status
    Then the status is 200
    When it sends GET /services/orders/closed
    Then it is refused with 401 invalid_key as not run

  Scenario: The operators' interface needs the operators' token
    Given a caller with a valid key
    When it sends GET /operator/v1/status
    Then the status is 401

  Scenario: The key is not exposed by any process
    Then the key is in no log, metric, timeline or upstream report
