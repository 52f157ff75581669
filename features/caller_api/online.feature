Feature: Online requests over the OpenAI-compatible caller API
  Callers use the unmodified OpenAI client library. A fault states whether the request was run.

  Background:
    Given a caller API over a gateway double

  Scenario: The client lists the services that have an active version
    When the OpenAI client lists the models
    Then the caller API listed the models "reports"

  Scenario: A completion is answered completely, with usage and outcome
    When the OpenAI client asks for a completion of "where is my box"
    Then the completion reads "Reefer fine."
    And the completion reports 3 prompt tokens and 2 completion tokens
    And the caller API reported the outcome "completed"
    And the gateway double saw the prompt "where is my box" of tenant "exporter"

  Scenario: A completion is streamed part by part
    When the OpenAI client streams a completion of "where is my box"
    Then the streamed parts were "Reefer |fine."
    And the stream ended with finish reason "stop" and 5 total tokens

  Scenario: A chat is answered at once or streamed
    When the OpenAI client chats "how warm is it"
    Then the chat answer reads "Reefer fine."
    And the gateway double saw the prompt of a chat with "how warm is it"
    When the OpenAI client streams a chat "how warm is it"
    Then the streamed parts were "Reefer |fine."

  Scenario: The documented headers reach the gateway
    When the OpenAI client asks with class "non_repeatable", session "s-9", deadline "4.5" and idempotency key "ping-17"
    Then the gateway double saw class "non_repeatable", session "s-9", deadline 4.5 and request id "ping-17"

  Scenario Outline: A fault before the first part is an HTTP error that states the outcome
    Given the gateway double answers with a fault <code> of outcome <outcome> and retry after 1.5 s
    When the OpenAI client asks for a completion that fails
    Then the caller API answered status <status> with outcome <outcome> and should-retry <retry>
    And the caller API answered with retry-after 2

    Examples:
      | code       | outcome | status | retry |
      | overloaded | not_run | 503    | true  |
      | over_limit | not_run | 429    | true  |
      | timeout    | unknown | 504    | false |

  Scenario: A fault in mid-stream reaches the client as an error, not as a short answer
    Given the gateway double sends "Reefer " and then a fault unknown
    When the OpenAI client streams a completion that fails
    Then the OpenAI client raised an error after "Reefer "

  Scenario Outline: Malformed requests are refused with their step, and nothing is submitted
    When a raw caller posts <body> to <path>
    Then the raw caller gets status <status> at step "<step>" naming "<detail>"
    And the gateway double saw no request

    Examples:
      | path                 | status | step                   | detail      | body                                                  |
      | /v1/completions      | 400    | caller_api.completions | Invalid JSON | {"model":                                            |
      | /v1/completions      | 400    | caller_api.completions | model       | {"prompt": "x"}                                       |
      | /v1/completions      | 400    | caller_api.completions | max_tokens  | {"model": "reports", "prompt": "x", "max_tokens": -1} |
      | /v1/completions      | 400    | caller_api.completions | max_tokens  | {"model": "reports", "prompt": "x", "max_tokens": 99999999} |
      | /v1/completions      | 400    | caller_api.completions | n:          | {"model": "reports", "prompt": "x", "n": 2}           |
      | /v1/chat/completions | 400    | caller_api.completions | messages    | {"model": "reports", "messages": []}                  |
      | /v1/chat/completions | 400    | caller_api.completions | role        | {"model": "reports", "messages": [{"role": "x", "content": "y"}]} |
      | /v1/nothing          | 404    | caller_api.route       | 404         | {}                                                    |
      | /v1/models           | 400    | caller_api.route       | 405         | {}                                                    |

  Scenario: An invalid header is refused
    When a raw caller posts a completion with header "X-Rainsail-Deadline: soon"
    Then the raw caller gets status 400 at step "caller_api.headers" naming "X-Rainsail-Deadline"
    When a raw caller posts a completion with header "X-Rainsail-Class: urgent"
    Then the raw caller gets status 400 at step "caller_api.headers" naming "X-Rainsail-Class"
    And the gateway double saw no request

  Scenario: A body over the size limit is refused before it is read
    Given a caller API that takes bodies of at most 2000 bytes
    When a raw caller posts a completion with a prompt of 3000 characters
    Then the raw caller gets status 413 at step "caller_api.completions" naming "2000"
    When a raw caller announces a body of 99000000 bytes
    Then the raw caller gets status 413 at step "caller_api.body" naming "bytes"
    When a raw caller sends chunks without an end
    Then the raw caller gets status 413 at step "caller_api.body" naming "bytes"
    And the gateway double saw no request

  Scenario: Unknown keys are refused, and all requests before the configuration is read
    When the OpenAI client asks with the key "nobody's"
    Then the OpenAI client got an authentication error
    Given the caller API has read no configuration yet
    When the OpenAI client asks for a completion that fails
    Then the caller API answered status 503 with outcome not_run and should-retry true
    And the gateway double saw no request

  Scenario: A caller that disconnects abandons its request
    Given the gateway double leaves requests open
    When a raw caller starts a streamed completion and leaves
    Then the gateway double's request got the call "abandon"

  Scenario: A caller that reads slowly pauses its request
    Given the gateway double leaves requests open
    When a raw caller starts a streamed completion and stops reading
    And the gateway double sends parts until it is paused
    Then the raw caller reads on and the gateway double is unpaused
    And the raw caller gets every part in order

  Scenario: Any JSON gets an answer, and only valid requests are submitted
    Then whatever JSON is posted to the completions, the caller API answers without an internal error
