Feature: The OpenAI client library against a fleet that rainsail up runs
  End to end: client, gateway, engine and back over sockets; batches through the replicated log.

  Background:
    Given a fleet that rainsail up runs

  Scenario: Models, completions and chats, streamed or not
    Then the live OpenAI client lists the models "reports"
    And a live completion of 24 tokens is complete, with usage and the outcome "completed"
    And a live streamed completion of 24 tokens comes in parts and is complete
    And a live chat of 24 tokens is complete
    And a live streamed chat of 24 tokens comes in parts and is complete

  Scenario: A file becomes a batch, which completes, each item once
    When the live OpenAI client uploads a file of 12 completions and creates a batch of it
    Then the live batch completes with 12 of 12 items
    And the live batch's output has each of the 12 items once with its complete answer
    And the live batch's output reads the same a second time
    And creating the live batch again under its key gives the same batch
    And another file under the live batch's key is a conflict

  Scenario: A non-repeatable completion sent twice runs at most once
    When the live OpenAI client sends a non-repeatable completion twice under one idempotency key
    Then both sends of the live ping have the same answer
    And the fleet's engines began the ping "ping-1" once

  Scenario Outline: Malformed input is a typed refusal with its step, and nothing is queued
    When a live caller posts <body> to <path>
    Then the live caller gets status <status> at step "<step>" as not run
    And the fleet has no further job and no further execution

    Examples:
      | path                 | status | step                   | body                                          |
      | /v1/completions      | 400    | caller_api.completions | {"model":                                     |
      | /v1/completions      | 400    | caller_api.completions | {"model": "reports", "prompt": 7}             |
      | /v1/completions      | 404    | gateway.core           | {"model": "nothing", "prompt": "x"}           |
      | /v1/chat/completions | 400    | caller_api.completions | {"model": "reports", "messages": []}          |
      | /v1/batches          | 400    | caller_api.batches     | {"input_file_id": "x"}                        |
      | /v1/batches          | 404    | caller_api.files       | {"input_file_id": "x", "endpoint": "/v1/completions"} |
      | /v1/files            | 400    | caller_api.files       | {}                                            |
      | /v1/nothing          | 404    | caller_api.route       | {}                                            |

  Scenario: A body over the size limit is refused
    When a live caller posts a completion with a prompt of 30000 characters
    Then the live caller gets status 413 at step "caller_api.completions" as not run
    And the fleet has no further job and no further execution

  Scenario: A batch that is cancelled stops
    When the live OpenAI client uploads a file of 200 completions and creates a batch of it
    And the live OpenAI client cancels the batch
    Then the live batch's status is "cancelled" and stays so
