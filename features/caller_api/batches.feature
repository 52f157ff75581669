Feature: Files and batches over the OpenAI-compatible caller API
  The creation of a batch is answered once its job is accepted; results are read from the ledger.

  Background:
    Given a caller API over a gateway double

  Scenario: A file becomes a batch, and its results are read back
    When the OpenAI client uploads a batch file of 1201 completions
    And the OpenAI client creates a batch of the file
    Then the batch is completed with 1201 items, 1200 completed and 1 failed
    And the batch's output file has 1200 lines in order with the right answers
    And the batch's error file names the item "item-1"
    And the results were read in 3 pages or more a file

  Scenario: A batch created again is the same batch; other content under its key is a conflict
    When the OpenAI client uploads a batch file of 3 completions
    And the OpenAI client creates a batch of the file
    And the OpenAI client creates a batch of the file again
    Then both creations name the same batch
    When the OpenAI client uploads a batch file of 4 completions
    And the OpenAI client creates a batch of the file under the first one's job key
    Then the OpenAI client got a conflict

  Scenario: Batches are listed, retrieved and cancelled, each tenant's own only
    When the OpenAI client uploads a batch file of 2 completions
    And the OpenAI client creates a batch of the file
    Then the OpenAI client finds the batch in its list
    And another tenant's OpenAI client does not find the batch
    When the OpenAI client cancels the batch
    Then the batch's status is "cancelled"

  Scenario: The uploaded file can be read back, listed and deleted
    When the OpenAI client uploads a batch file of 2 completions
    Then the uploaded file reads back as it was sent
    And another tenant's OpenAI client does not find the file
    When the OpenAI client deletes the file
    Then the OpenAI client does not find the file

  Scenario Outline: An invalid line is named, and nothing is submitted
    When the OpenAI client uploads a batch file with the second line <line>
    And the OpenAI client creates a batch of the file that is refused
    Then the refusal names "<detail>"
    And the intake double has no jobs

    Examples:
      | line                                                                                       | detail              |
      | not json                                                                                   | line 2: Invalid JSON |
      | {"custom_id": "b", "method": "GET", "url": "/v1/completions", "body": {}}                  | line 2: method      |
      | {"custom_id": "b", "method": "POST", "url": "/v1/embeddings", "body": {}}                  | line 2: url         |
      | {"custom_id": "b", "method": "POST", "url": "/v1/completions", "body": {"model": "reports"}} | line 2: body.prompt |
      | {"custom_id": "b", "method": "POST", "url": "/v1/completions", "body": {"model": "other", "prompt": "x"}} | line 2: body.model |

  Scenario: Malformed uploads are refused
    When a raw caller posts a form without a file
    Then the raw caller gets status 400 at step "caller_api.files" naming "file"
    When a raw caller posts a broken form
    Then the raw caller gets status 400 at step "caller_api.files" naming "malformed form"
    When a raw caller posts {} to /v1/files
    Then the raw caller gets status 400 at step "caller_api.files" naming "multipart"

  Scenario: The total size of stored files is limited; the oldest are evicted first
    Given a caller API that keeps at most 1000 bytes of files
    When the OpenAI client uploads files of 400, 400 and 400 bytes
    Then only the last 2 files are kept
    And a file of 1001 bytes is refused as too large
